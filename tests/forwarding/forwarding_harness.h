#ifndef TESTS_FORWARDING_FORWARDING_HARNESS_H_
#define TESTS_FORWARDING_FORWARDING_HARNESS_H_

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/forwarding.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {

/// Everything that one caller received.
struct CallerRecord {
  std::optional<ServiceResponse> reply;
  std::optional<int> stream_status;
  std::string bytes;
  bool has_ended = false;
  bool is_aborted = false;
  std::optional<ForwardRefusal> refusal;
  std::function<void()> on_closed;

  bool IsOver() const { return reply || has_ended || is_aborted || refusal; }
};

/// One attempt that a target received.
struct TargetSend {
  EngineAddress target;
  RequestId request;
  WorkspaceId workspace;
  Duration time_left{0};
  std::optional<std::uint64_t> last_event_id;
  std::vector<PrefillHelper> helpers;
  std::vector<PromptPartId> shared_parts;
  std::string body;
  /// The target is another entry, which gets this call.
  std::optional<ForwardCall> relayed_call;
  /// Null once the forwarder has closed the connection.
  TargetObserver* observer = nullptr;
  std::optional<int> priority = std::nullopt;
  bool is_paused = false;
};

/// Records attempts, checks and reservations. Tests act as the targets.
class FakeTargetClient : public TargetClient {
 public:
  void SetNoticeObserver(EngineNoticeObserver& observer) override {
    notices = &observer;
  }
  std::unique_ptr<TargetCall> Send(const EngineAddress& target,
                                   const TargetRequest& request,
                                   TargetObserver& observer) override;
  void Check(const EngineAddress& engine,
             Duration limit,
             DoneCallback callback) override;
  void Reserve(const EngineAddress& engine,
               const ReservationId& reservation,
               TokenCount tokens,
               Duration hold,
               DoneCallback callback) override;
  void Release(const EngineAddress& engine,
               const ReservationId& reservation,
               DoneCallback callback) override;

  /// Answers the checks, reservations and releases received since the last
  /// call.
  void AnswerPendingCalls();

  // Shared with calls, which may outlive the client if a test fails.
  std::vector<std::shared_ptr<TargetSend>> sends;
  /// Reservations in force, by engine and identifier.
  std::map<std::pair<EngineId, ReservationId>, TokenCount> reservations;
  /// Engines that do not answer checks.
  std::set<EngineId> unresponsive;
  /// No engine answers checks.
  bool is_cut_off = false;
  /// Engines in the order of the checks received.
  std::vector<EngineId> checks;
  /// Engines that refuse reservations as overloaded.
  std::set<EngineId> without_memory;
  std::vector<std::function<void()>> pending_answers;
  EngineNoticeObserver* notices = nullptr;
};

/// A forwarder with one route for prompts, one for idempotent and one for
/// non-idempotent requests. The test acts as the targets.
class ForwardingHarness {
 public:
  explicit ForwardingHarness(
      std::optional<ByteCount> memory_limit = std::nullopt);

  void AddEngines(int count);
  /// Lists targets of a service without a timing model.
  void AddPlainTargets(int count);
  static ServingConfig Config();
  static ForwardCall Call(const std::string& path);
  static ForwardCall Prompt(std::int64_t tokens);

  std::shared_ptr<CallerRecord> Handle(ForwardCall call);
  TargetSend& send(std::size_t i) { return *targets.sends.at(i); }

  /// Gives a whole answer to attempt `i`.
  void Answer(std::size_t i, int status, const std::string& body);
  /// Refuses attempt `i` as not run; the refusal may blame another engine.
  void Decline(std::size_t i,
               std::optional<Endpoint> faulty_engine = std::nullopt);
  /// Begins a stream in answer to attempt `i` and delivers `bytes`.
  void Stream(std::size_t i, const std::string& bytes);
  void Fail(std::size_t i, ErrorCode code);

  ManualClock clock;
  SeededRandom random{1};
  std::string log_text;
  DecisionLog log;
  FakeTargetClient targets;
  std::vector<WorkNote> notes;
  std::unique_ptr<Forwarder> forwarder;
};

/// A sink that records what the caller receives.
std::unique_ptr<ForwardSink> MakeRecordingSink(
    std::shared_ptr<CallerRecord> record);

/// The text of an event with identifier `id`.
std::string Event(int id);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_FORWARDING_HARNESS_H_
