#ifndef TESTS_FAKES_RECORDING_SINK_H_
#define TESTS_FAKES_RECORDING_SINK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift::fakes {

/// Records what one caller received.
struct CallRecord {
  /// Time at which the entry (the serving process) got the request; until then
  /// the time at which the caller sent it.
  MonotonicTime delivered_at;
  std::optional<AnswerStart> start;
  /// Offset expected next, that is after the last chunk; a chunk at another
  /// offset sets `has_gap`. A resumed call begins at the earlier call's tokens.
  std::uint64_t tokens = 0;
  std::string text;
  bool has_gap = false;
  std::optional<MonotonicTime> first_chunk;
  std::optional<AnswerEnd> end;
  std::optional<Problem> problem;
  std::optional<ServiceResponse> response;
  /// Number of calls that ended the request; more than one is a fault of the
  /// entry.
  int endings = 0;
  MonotonicTime ended;
  /// Set by tests: bytes not yet written to the caller's connection.
  ByteCount unsent;

  bool is_ended() const { return endings > 0; }
  /// "pending", "completed", or the outcome of the problem.
  std::string outcome() const;
};

/// Writes what the caller receives into a record shared with the test.
class RecordingSink : public CallerSink {
 public:
  RecordingSink(std::shared_ptr<CallRecord> record, const Clock& clock);

  void Begin(const AnswerStart& start) override;
  void Write(const AnswerChunk& chunk) override;
  void Finish(const AnswerEnd& end) override;
  void Fail(const Problem& problem) override;
  void Reply(const ServiceResponse& response) override;
  ByteCount GetUnsentBytes() const override { return record_->unsent; }

 private:
  void CountEnding();

  // Shared with the test, since the entry owns and destroys the sink.
  std::shared_ptr<CallRecord> record_;
  const Clock& clock_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_RECORDING_SINK_H_
