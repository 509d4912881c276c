#ifndef TESTS_FAKES_ENGINE_MODEL_H_
#define TESTS_FAKES_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/prefix_cache.h"

namespace kingcupdrift::fakes {

/// Size and speed of one engine.
struct EngineModelOptions {
  EngineId id;
  /// Memory for the prompts and answers of running streams, for reservations
  /// and for imports.
  TokenCount memory{400'000};
  /// Capacity of the prefix cache, apart from `memory`.
  TokenCount cache{400'000};
  /// Prompt tokens for each block digest.
  TokenCount block{1024};
  /// Prefill speed, tokens a second.
  double prefill_rate = 20'000;
  /// Prompt tokens processed in one step.
  TokenCount prefill_chunk{2048};
  /// Time of a step that decodes, and its growth with each stream.
  Duration decode_step = std::chrono::milliseconds(20);
  Duration decode_step_per_stream = std::chrono::microseconds(100);
  std::uint32_t max_running = 64;
  std::uint32_t max_waiting = 1000;
  /// Tokens gathered into one chunk; the first and last are sent at once.
  std::uint32_t tokens_per_chunk = 1;
  /// Share of its own prefill speed that each further member adds to a group.
  double group_efficiency = 0.8;
  /// Least age of a load report, and the time between reports.
  Duration report_lag = std::chrono::milliseconds(500);
  Duration report_interval = std::chrono::milliseconds(100);
  Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_lost_share = 0;
  /// Refuses placement orders with an old fencing number.
  bool is_fencing_enforced = false;
  /// How long a finished stream can be resumed.
  Duration finished_retention = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

/// What the engine makes of a prompt.
struct PromptDigests {
  /// Seed of the answer's text; see AnswerSeed.
  std::uint64_t answer_seed = 0;
  /// Chain of digests over the prompt's blocks.
  std::vector<std::uint64_t> blocks;
};

/// Work for the model; as EngineStreamRequest, with the prompt already read.
struct EngineModelRequest {
  RequestId request;
  AttemptId attempt;
  InstanceId owner;
  PromptDigests prompt;
  TokenCount prompt_tokens;
  TokenCount max_output_tokens;
  int priority = 0;
  Duration time_left{0};
  ReservationId reservation;
  /// Engines that run it together, this one included.
  std::uint32_t group_size = 1;
  /// Memory reserved for it on the group's other members.
  TokenCount group_memory;
  std::uint64_t emitted_tokens = 0;
};

/// Totals that tests check.
struct EngineModelCounters {
  /// Starts accepted, for each attempt.
  std::map<AttemptId, int> runs_by_attempt;
  /// The same for each request.
  std::map<RequestId, int> runs_by_request;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;
  std::int64_t prefilled_tokens = 0;
  std::int64_t cached_tokens = 0;
  /// Orders applied, in order of arrival, and orders refused as fenced.
  std::vector<PlacementOrder> orders;
  std::uint64_t fenced_orders = 0;
};

/// One model engine without I/O: continuous batching with chunked prefill,
/// priorities, a prefix cache, bounded memory and resumable streams. Streams
/// end by themselves at their time limit; reservations and imports stay until
/// they are released, also past their expiry.
///
/// Observers are called from the model's timers only, and must not call the
/// model from there.
class EngineModel {
 public:
  EngineModel(EngineModelOptions options, Clock& clock);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  const EngineModelOptions& options() const { return options_; }

  /// Takes work in; returns the cached prompt tokens. Errors: kRefused when the
  /// memory can never suffice, the reservation is unknown or the attempt was
  /// already started; kOverloaded when too many requests wait.
  Result<TokenCount> Start(EngineModelRequest request,
                           EngineStreamObserver* observer);
  /// Sends the stream from token `offset` to `observer`, in place of an earlier
  /// one. Error: kNotFound.
  Result<void> Resume(const AttemptId& attempt,
                      std::uint64_t offset,
                      EngineStreamObserver* observer);
  /// Forgets `observer`; the work goes on.
  void Detach(const AttemptId& attempt, const EngineStreamObserver* observer);
  void SetPaused(const AttemptId& attempt,
                 const EngineStreamObserver* observer,
                 bool is_paused);
  void Cancel(const AttemptId& attempt);

  /// Errors: kOverloaded when the memory does not suffice now.
  Result<void> Reserve(const ReservationRequest& request);
  void Release(const ReservationId& reservation);
  /// Memory reserved for an attempt.
  TokenCount GetReservedTokens(const AttemptId& attempt) const;
  std::vector<EngineHolding> ListHoldings() const;

  EngineReport GetReport() const;
  /// The state as of now, without lag.
  EngineReport GetCurrentReport() const;
  CacheEventBatch GetCacheEvents(std::uint64_t after_sequence) const;
  /// Error: kFenced.
  Result<void> ApplyPlacementOrder(const PlacementOrder& order);
  Result<SharedBytes> ExportCache(const std::vector<std::uint64_t>& blocks);
  Result<void> ImportCache(const ReservationRequest& holding,
                           const std::string& exported);

  /// Loses all work, memory and cache; open streams break.
  void Restart();

  TokenCount GetHeldMemory() const { return held_; }
  const EngineModelCounters& counters() const { return counters_; }

 private:
  enum class Phase { kWaiting, kPrefill, kDecode, kFinished, kFailed };
  struct Stream;
  struct ByPriorityThenAge {
    bool operator()(const Stream* a, const Stream* b) const;
  };
  using StreamQueue = std::set<Stream*, ByPriorityThenAge>;
  using HoldKey = std::pair<HoldingKind, std::string>;
  struct Hold {
    ReservationRequest request;
    MonotonicTime expiry;
  };
  struct PrefillShare {
    Stream* stream = nullptr;
    std::int64_t tokens = 0;
  };
  struct Snapshot {
    EngineReport report;
    MonotonicTime time;
  };

  Result<void> AddHold(const HoldKey& key, const ReservationRequest& request);
  void RemoveHold(const HoldKey& key);
  Result<void> CheckMemory(const EngineModelRequest& request) const;
  TokenCount ComputeUnreservedMemory(const EngineModelRequest& request) const;
  TokenCount GetFreeMemory() const { return options_.memory - held_; }
  void Admit();
  void BeginStep();
  double PlanPrefill();
  void EndStep();
  void ApplyPrefill();
  void Generate(Stream& stream);
  void Send(Stream& stream);
  void Finish(Stream& stream);
  void Expire(const AttemptId& attempt);
  /// Takes the stream out of the batch and frees its memory.
  void RemoveFromBatch(Stream& stream);
  /// Ends the stream; its observer hears of it from a timer.
  void FailStream(const AttemptId& attempt, Error error);
  void WakeUp();
  void ScheduleFlush(const AttemptId& attempt);
  void Flush();
  void TakeSnapshot();
  Stream* FindStream(const AttemptId& attempt);
  double ComputeGroupPrefillRate(const Stream& stream) const;

  EngineModelOptions options_;
  Clock& clock_;
  SeededRandom random_;
  PrefixCache cache_;
  std::map<AttemptId, std::unique_ptr<Stream>> streams_;
  StreamQueue waiting_;
  StreamQueue prefilling_;
  std::vector<Stream*> decoding_;
  std::vector<PrefillShare> prefill_plan_;
  /// Reservations by their identifier, imports by their attempt's.
  std::map<HoldKey, Hold> holds_;
  TokenCount held_;
  std::uint64_t next_order_ = 0;
  /// Streams with something to send outside a step.
  std::vector<AttemptId> to_flush_;
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Timer> step_timer_;
  Duration step_time_{0};
  double step_prefill_seconds_ = 0;
  double measured_prefill_rate_ = 0;
  double measured_decode_rate_ = 0;
  std::unique_ptr<Timer> snapshot_timer_;
  std::deque<Snapshot> snapshots_;
  std::uint64_t report_sequence_ = 0;
  FencingNumber highest_fence_;
  EngineModelCounters counters_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ENGINE_MODEL_H_
