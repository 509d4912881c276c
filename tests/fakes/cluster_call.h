#ifndef TESTS_FAKES_CLUSTER_CALL_H_
#define TESTS_FAKES_CLUSTER_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/recording_sink.h"

namespace kingcupdrift::fakes {

struct CompletionSpec {
  std::int64_t prompt_tokens = 100;
  /// Exact length of the answer.
  std::int64_t output_tokens = 20;
  Duration time_limit = std::chrono::seconds(60);
};

/// A request to an entry (a serving process) and what its caller received.
struct ClusterCall {
  std::string name;
  std::string entry;
  /// Idempotency key; empty for completions.
  std::string key;
  /// The completion's body; null for orders, which are calls of a plain
  /// service.
  SharedBytes body;
  /// Exact length that a finished answer must have.
  std::uint64_t output_tokens = 0;
  Duration time_limit{0};
  /// Tokens and text received by the earlier call that this one resumes.
  std::uint64_t earlier_tokens = 0;
  std::string earlier_text;
  /// Identifier that the entry gave the request; empty until the entry has it.
  RequestId request;
  std::shared_ptr<CallRecord> record;
  /// The connection was interrupted by the entry's death, or the caller closed
  /// it.
  bool is_interrupted = false;
  /// The entry was frozen while it had the request.
  bool was_frozen = false;
  /// Time between the start of the entry's drain and the request; negative if
  /// the entry was not draining.
  Duration time_since_drain_start{-1};

  bool is_order() const { return !key.empty(); }
  bool is_over() const { return is_interrupted || record->is_ended(); }
  /// "completed", "not_run", "failed", "unknown", "pending" or, if the call was
  /// interrupted before its end, "broken".
  std::string outcome() const {
    const bool is_lost = is_interrupted && !record->is_ended();
    return is_lost ? "broken" : record->outcome();
  }
  /// Text of the answer that the caller received, the earlier call included.
  std::string text() const { return earlier_text + record->text; }
};

/// Name and detail of the call's problem, such as "queue_full: detail"; empty
/// if it has none.
std::string DescribeProblem(const ClusterCall& call);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_CALL_H_
