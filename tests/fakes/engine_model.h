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

/// Capacity and speed of one engine.
struct EngineModelOptions {
  EngineId id;
  /// Memory for the prompts and answers of running streams, for reservations
  /// and for imports.
  TokenCount memory{400'000};
  /// Capacity of the prefix cache, apart from `memory`.
  TokenCount cache{400'000};
  /// Prompt tokens covered by one block digest.
  TokenCount block{1024};
  /// Prefill speed in tokens a second.
  double prefill_rate = 20'000;
  /// Maximum prompt tokens of one iteration at `prefill_rate`. It is a time
  /// budget, so that a group, which prefills faster, processes more.
  TokenCount max_prefill_chunk{2048};
  /// Time that decoding adds to an iteration's prefill time, and its increase
  /// for each decoding stream.
  Duration decode_step = std::chrono::milliseconds(20);
  Duration decode_step_per_stream = std::chrono::microseconds(100);
  /// Maximum number of streams in prefill and decoding together.
  std::uint32_t max_running_streams = 64;
  std::uint32_t max_waiting = 1000;
  /// Minimum tokens of a chunk; the first and last tokens are sent at once. A
  /// stream that catches up sends up to 256 in one chunk.
  std::uint32_t tokens_per_chunk = 1;
  /// Share of its own prefill speed that each member after the first adds to a
  /// group.
  double group_efficiency = 0.8;
  /// Minimum age of a load report, and the interval between reports.
  Duration report_lag = std::chrono::milliseconds(500);
  Duration report_interval = std::chrono::milliseconds(100);
  /// Delay until a cache event can be fetched, and the share of events lost.
  Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_lost_share = 0;
  /// Refuses placement orders with a fencing number below the highest seen.
  bool is_fencing_enforced = false;
  /// Time for which a finished stream can be resumed.
  Duration finished_retention = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

/// Digests that the engine computes from a prompt.
struct PromptDigests {
  /// Seed of the answer's text; see AnswerSeed.
  std::uint64_t answer_seed = 0;
  /// Chained digests of the prompt's blocks.
  std::vector<std::uint64_t> blocks;
};

/// A request to the model: an EngineStreamRequest with its prompt digested.
struct EngineModelRequest {
  RequestId request;
  AttemptId attempt;
  InstanceId owner;
  PromptDigests prompt;
  TokenCount prompt_tokens;
  /// Length of the whole answer, `emitted_tokens` included; the model always
  /// writes all of it.
  TokenCount max_output_tokens;
  /// Higher priorities run first.
  int priority = 0;
  Duration time_left{0};
  ReservationId reservation;
  /// Number of engines that run the request together, this one included.
  std::uint32_t group_size = 1;
  /// Memory reserved for the request on the group's other members.
  TokenCount group_memory;
  std::uint64_t emitted_tokens = 0;
};

/// Counters for tests.
struct EngineModelCounters {
  /// Accepted starts by attempt.
  std::map<AttemptId, int> runs_by_attempt;
  /// Accepted starts by request.
  std::map<RequestId, int> runs_by_request;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;
  std::int64_t prefilled_tokens = 0;
  std::int64_t cached_tokens = 0;
  /// Applied placement orders in order of arrival, and the number refused for
  /// their fencing number.
  std::vector<PlacementOrder> orders;
  std::uint64_t fenced_orders = 0;
};

/// Simulates one model engine without I/O: continuous batching with chunked
/// prefill, priorities, a prefix cache, bounded memory and resumable streams.
/// The engine ends streams at their time limit. Reservations and imports hold
/// their memory until they are released, also past their expiry.
///
/// The model calls observers from its timers only; observers must not call the
/// model from these calls.
class EngineModel {
 public:
  EngineModel(EngineModelOptions options, Clock& clock);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  const EngineModelOptions& options() const { return options_; }

  /// Queues a request and returns the prompt tokens cached now, possibly all of
  /// them. They are counted anew, at most the prompt less one token, when the
  /// request leaves the queue. `observer` may be null. Errors: kRefused if
  /// the request exceeds the engine's total memory, its reservation is unknown
  /// or its attempt was already started; kOverloaded if the queue is full.
  Result<TokenCount> Start(EngineModelRequest request,
                           EngineStreamObserver* observer);
  /// Sends the stream from token `offset` to `observer`, which replaces an
  /// earlier one. Error: kNotFound.
  Result<void> Resume(const AttemptId& attempt,
                      std::uint64_t offset,
                      EngineStreamObserver* observer);
  /// Stops calling `observer`; the stream continues. No effect if `observer`
  /// was replaced.
  void Detach(const AttemptId& attempt, const EngineStreamObserver* observer);
  /// While paused, holds back chunks and the normal end, but not failures; the
  /// engine goes on generating. No effect if `observer` was replaced.
  void SetPaused(const AttemptId& attempt,
                 const EngineStreamObserver* observer,
                 bool is_paused);
  /// Ends the stream with kRefused and releases the attempt's import.
  void Cancel(const AttemptId& attempt);

  /// Holds memory. A second call with the same identifier only renews the
  /// expiry; its token count is ignored. Error: kOverloaded if too little
  /// memory is free now.
  Result<void> Reserve(const ReservationRequest& request);
  /// Frees the reservation and ends the unfinished streams that use it with
  /// kRefused.
  void Release(const ReservationId& reservation);
  /// Memory reserved for an attempt.
  TokenCount GetReservedTokens(const AttemptId& attempt) const;
  std::vector<EngineHolding> ListHoldings() const;

  /// Newest load report that is at least `report_lag` old, or the oldest one
  /// while none is.
  EngineReport GetReport() const;
  /// Load report of the current state, without lag.
  EngineReport GetCurrentReport() const;
  CacheEventBatch GetCacheEvents(std::uint64_t after_sequence) const;
  /// Records the order and its fencing number; the model served does not
  /// change. Error: kFenced.
  Result<void> ApplyPlacementOrder(const PlacementOrder& order);
  /// Returns the digests of those `blocks` that are cached, as bytes.
  Result<SharedBytes> ExportCache(const std::vector<std::uint64_t>& blocks);
  /// Caches the exported digests and holds `holding.tokens` under the attempt
  /// until Cancel. Errors: kRefused for malformed bytes; kOverloaded if too
  /// little memory is free.
  Result<void> ImportCache(const ReservationRequest& holding,
                           const std::string& exported);

  /// Drops all work, memory, cache, load reports and the highest fencing number
  /// seen; open streams fail with kConnectionLost.
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
  void BeginIteration();
  double PlanPrefill();
  void EndIteration();
  void ApplyPrefill();
  void Generate(Stream& stream);
  void Send(Stream& stream);
  void Finish(Stream& stream);
  void Expire(const AttemptId& attempt);
  /// Removes the stream from the batch and frees its memory.
  void RemoveFromBatch(Stream& stream);
  /// Ends the stream; a timer notifies its observer.
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
  /// Reservations by their own identifier, imports by the identifier of their
  /// attempt.
  std::map<HoldKey, Hold> holds_;
  TokenCount held_;
  std::uint64_t next_arrival_ = 0;
  /// Streams with events to send outside an iteration.
  std::vector<AttemptId> to_flush_;
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Timer> iteration_timer_;
  Duration iteration_time_{0};
  double iteration_prefill_seconds_ = 0;
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
