#ifndef KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_
#define KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// ID and address of one engine of a model or of a plain service.
struct EngineAddress {
  EngineId id;
  Endpoint endpoint;
  /// Start of the engine's process, which distinguishes it from earlier ones
  /// with the same ID; 0 if not known.
  Incarnation incarnation = Incarnation();
};

enum class CompletionKind { kText, kChat };

/// One attempt of a completion. `body` is the caller's JSON, forwarded without
/// a copy.
struct EngineStreamRequest {
  RequestId request;
  AttemptId attempt;
  CompletionKind kind = CompletionKind::kText;
  SharedBytes body;
  /// Estimated size of the prompt. Not sent to the engine.
  TokenCount prompt_tokens;
  /// Sent to the engine as it is.
  TokenCount max_output_tokens;
  /// Higher runs first.
  int priority = 0;
  /// Time until the request's deadline, measured when it is sent. The engine
  /// is told this value, also if it is zero; zero sets no timeout of the call
  /// itself.
  Duration time_left{0};
  /// Reservation that holds memory for the prompt; empty without one.
  ReservationId reservation;
  /// Other members of the engine group, the engines that run this attempt
  /// together; empty for a single engine.
  std::vector<EngineAddress> group;
  /// Answer already delivered by earlier attempts: the engine continues after
  /// it, and its first chunk has offset `emitted_tokens`.
  std::string emitted_text;
  std::uint64_t emitted_tokens = 0;
};

/// Consecutive generated tokens. `offset` is the number of the answer's tokens
/// before them.
struct EngineChunk {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string text;
};

enum class FinishReason { kStop, kLength };

/// "stop" or "length", as the completion protocol writes it.
inline const char* GetFinishReasonName(FinishReason reason) {
  return reason == FinishReason::kStop ? "stop" : "length";
}

/// Receives a stream's events. After OnFinished or OnFailed no more follow.
class EngineStreamObserver {
 public:
  virtual ~EngineStreamObserver() = default;
  /// The engine accepted the request; `cached` prompt tokens needed no prefill.
  /// Called at the event that states this number, normally the first one, not
  /// at the response head.
  virtual void OnAccepted(TokenCount cached) = 0;
  /// Not called for events without tokens.
  virtual void OnChunk(EngineChunk chunk) = 0;
  /// `total_tokens` counts the whole answer, earlier attempts included.
  virtual void OnFinished(FinishReason reason, std::uint64_t total_tokens) = 0;
  /// Errors:
  ///  - kUnavailable: the request never reached the engine;
  ///  - kRefused / kOverloaded: the engine refused it;
  ///  - kConnectionLost: the stream may continue at the engine and can be
  ///    resumed;
  ///  - kNotFound: the engine has no such stream to resume;
  ///  - kDeadlineExceeded, kProtocol (unreadable response), kInternal (fault of
  ///    the engine), kFenced, or an error in `body`.
  virtual void OnFailed(Error error) = 0;
};

/// An open stream. Destroying it closes the connection; the engine continues to
/// work until the attempt is cancelled or its time limit passes.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  /// Pauses or resumes reading, to bound the memory used for a slow caller.
  virtual void SetPaused(bool is_paused) = 0;
};

/// Memory of an engine to be held for a reservation or an imported cache. The
/// engine may free it after `time_to_live`.
struct ReservationRequest {
  /// For an import it is sent as the ID of the holding.
  ReservationId id;
  InstanceId owner;
  AttemptId attempt;
  TokenCount tokens;
  Duration time_to_live{0};
};

enum class HoldingKind { kReservation, kStream, kImport };

/// A reservation, stream or import that occupies memory of an engine.
struct EngineHolding {
  HoldingKind kind = HoldingKind::kReservation;
  /// As the engine names it: the reservation ID, or the attempt ID of a stream
  /// or an import.
  std::string id;
  InstanceId owner;
  AttemptId attempt;
  TokenCount tokens;
  /// Time until expiry by the engine's clock; negative after it.
  Duration time_left{0};
};

/// An engine's report of its load, valid as of `age` before its arrival.
struct EngineReport {
  /// The engine's number of this report.
  std::uint64_t sequence = 0;
  Duration age{0};
  TokenCount waiting_prefill_tokens;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_requests = 0;
  /// Memory for the KV cache, counted in tokens.
  TokenCount free_memory;
  TokenCount total_memory;
  /// Prefill speed over the last seconds, tokens a second; 0 if unknown.
  double prefill_rate = 0;
  /// Decode speed of one stream, tokens a second; 0 if unknown.
  double decode_rate = 0;
  /// Attempts that the report includes, so that an entry (a serving process)
  /// does not count its own attempts twice.
  std::vector<AttemptId> counted_attempts;
};

/// A block of a prompt was added to an engine's prefix cache (`is_cached`) or
/// evicted from it.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool is_cached = false;
  std::uint64_t block_digest = 0;
};

struct CacheEventBatch {
  std::vector<CacheEvent> events;
  /// To be passed as `after_sequence` of the next fetch.
  std::uint64_t last_sequence = 0;
  /// Events before this batch were lost.
  bool has_gap = false;
};

enum class EngineRole { kGeneral, kPrefill, kDecode };

/// The model and role that an engine is to have. Orders are idempotent. An
/// engine refuses an order (kFenced) whose fencing number is below the highest
/// it has seen.
struct PlacementOrder {
  FencingNumber fencing_number;
  std::string model;
  /// Name of the fine-tuning adapter; empty without one.
  std::string adapter;
  /// Version of the model, from the configuration of its service.
  std::string version;
  EngineRole role = EngineRole::kGeneral;
};

/// Calls to engines. Callbacks never run inside the call. Errors of callbacks:
///  - kUnavailable: nothing was sent;
///  - kUnknownEffect / kDeadlineExceeded: the call may have taken effect;
///  - kConnectionLost: the connection was lost during the response;
///  - kNotFound, kFenced, kOverloaded, kRefused, kInternal: by the response's
///    status;
///  - kProtocol: the response is unreadable.
class EngineClient {
 public:
  using DoneCallback = std::function<void(Result<void>)>;
  using ReportCallback = std::function<void(Result<EngineReport>)>;
  using HoldingsCallback =
      std::function<void(Result<std::vector<EngineHolding>>)>;
  using CacheEventsCallback = std::function<void(Result<CacheEventBatch>)>;
  using CacheTransferCallback = std::function<void(Result<SharedBytes>)>;

  virtual ~EngineClient() = default;

  /// Starts an attempt. `observer` must outlive the returned stream.
  [[nodiscard]] virtual std::unique_ptr<EngineStream> Start(
      const EngineAddress& engine,
      const EngineStreamRequest& request,
      EngineStreamObserver& observer) = 0;

  /// Continues a stream from token `offset`, always over a new connection.
  [[nodiscard]] virtual std::unique_ptr<EngineStream> Resume(
      const EngineAddress& engine,
      const AttemptId& attempt,
      std::uint64_t offset,
      EngineStreamObserver& observer) = 0;

  /// Ends an attempt's work and frees its memory. Idempotent.
  virtual void Cancel(const EngineAddress& engine,
                      const AttemptId& attempt,
                      DoneCallback callback) = 0;

  virtual void Reserve(const EngineAddress& engine,
                       const ReservationRequest& request,
                       DoneCallback callback) = 0;
  /// Frees a reservation. Idempotent.
  virtual void Release(const EngineAddress& engine,
                       const ReservationId& reservation,
                       DoneCallback callback) = 0;
  virtual void ListHoldings(const EngineAddress& engine,
                            HoldingsCallback callback) = 0;

  virtual void FetchReport(const EngineAddress& engine,
                           ReportCallback callback) = 0;
  virtual void FetchCacheEvents(const EngineAddress& engine,
                                std::uint64_t after_sequence,
                                CacheEventsCallback callback) = 0;

  virtual void SendPlacementOrder(const EngineAddress& engine,
                                  const PlacementOrder& order,
                                  DoneCallback callback) = 0;

  /// Exports the cache blocks with these digests, as opaque bytes.
  virtual void ExportCache(const EngineAddress& engine,
                           const std::vector<std::uint64_t>& block_digests,
                           CacheTransferCallback callback) = 0;
  /// Imports exported bytes into an engine's cache, to be held for
  /// `holding.time_to_live`.
  virtual void ImportCache(const EngineAddress& engine,
                           const ReservationRequest& holding,
                           SharedBytes exported,
                           DoneCallback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_
