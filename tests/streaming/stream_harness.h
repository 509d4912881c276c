#ifndef TESTS_STREAMING_STREAM_HARNESS_H_
#define TESTS_STREAMING_STREAM_HARNESS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/streaming/streaming.h"
#include "tests/fakes/engine_fleet.h"
#include "tests/fakes/fake_engine_client.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {

/// Two engines, one session, and the events that the session reported.
class StreamHarness : public StreamSessionObserver {
 public:
  explicit StreamHarness(StreamLimits limits = {});

  void OnAccepted(TokenCount cached) override;
  void OnChunk(const AnswerChunk& chunk) override;
  void OnFinished(const AnswerEnd& end) override;
  void OnResumed(std::uint64_t offset) override;
  void OnAttemptFailed(const AttemptFailure& failure) override;

  void Start(const std::string& engine, const std::string& attempt);
  /// Runs until the answer ended or failed; false if neither within a minute.
  bool RunToEnd();
  bool RunUntilTokens(std::uint64_t tokens);
  /// True if the complete and correct answer was received.
  bool HasWholeAnswer() const;
  fakes::EngineModel& model(const std::string& engine);
  void SetFault(const std::string& engine, fakes::EngineLinkFault fault);

  fakes::ManualClock clock;
  fakes::EngineFleet fleet;
  fakes::FakeEngineClient client;
  std::unique_ptr<StreamSession> session;

  std::string text;
  std::uint64_t next_offset = 0;
  int accepted = 0;
  std::vector<std::uint64_t> resumed_at;
  std::vector<AttemptFailure> failures;
  std::optional<AnswerEnd> end;
  /// Engine for the next attempt after a failure; empty for no further attempt.
  std::string failover_engine;
};

}  // namespace kingcupdrift

#endif  // TESTS_STREAMING_STREAM_HARNESS_H_
