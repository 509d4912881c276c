#ifndef KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_
#define KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Names one engine and where to reach it.
struct EngineAddress {
  EngineId id;
  Endpoint endpoint;
};

enum class CompletionKind { kText, kChat };

/// Work for an engine. The body is the caller's JSON, forwarded without a copy.
struct EngineStreamRequest {
  RequestId request;
  AttemptId attempt;
  CompletionKind kind = CompletionKind::kText;
  SharedBytes body;
  TokenCount prompt_tokens;
  TokenCount max_output_tokens;
  /// Higher runs first.
  int priority = 0;
  /// Time left until the request's limit, measured when it is sent.
  Duration time_left{0};
  /// Reservation that holds memory for the prompt; empty without one.
  ReservationId reservation;
  /// Other members of the engine group; empty for a single engine.
  std::vector<EngineAddress> group;
  /// Answer already delivered by an earlier attempt: the engine goes on after
  /// it, and its first chunk has offset `emitted_tokens`.
  std::string emitted_text;
  std::uint64_t emitted_tokens = 0;
};

/// A run of generated tokens. `offset` counts tokens from the answer's start.
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
  /// The engine took the request; `cached` prompt tokens needed no prefill.
  virtual void OnAccepted(TokenCount cached) = 0;
  virtual void OnChunk(EngineChunk chunk) = 0;
  /// `total_tokens` counts the whole answer, earlier attempts included.
  virtual void OnFinished(FinishReason reason, std::uint64_t total_tokens) = 0;
  /// kUnavailable: never reached the engine. kRefused / kOverloaded: the engine
  /// declined. kConnectionLost: the stream may go on at the engine and can be
  /// resumed. kNotFound: nothing to resume.
  virtual void OnFailed(Error error) = 0;
};

/// An open stream. Destroying it closes the connection, which leaves the
/// engine's work running until cancelled or past its time limit.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  /// Stops or restarts reading, so that a slow caller bounds memory.
  virtual void SetPaused(bool is_paused) = 0;
};

/// Memory held on an engine, tagged with its owner and expiry.
struct ReservationRequest {
  ReservationId id;
  InstanceId owner;
  AttemptId attempt;
  TokenCount tokens;
  Duration time_to_live{0};
};

enum class HoldingKind { kReservation, kStream, kImport };

/// Something that occupies an engine's memory.
struct EngineHolding {
  HoldingKind kind = HoldingKind::kReservation;
  /// Reservation identifier, or attempt identifier of a stream or an import.
  std::string id;
  InstanceId owner;
  AttemptId attempt;
  TokenCount tokens;
  /// Time until expiry by the engine's clock; negative when past it.
  Duration time_left{0};
};

/// An engine's report of its load, valid as of `age` before its arrival.
struct EngineReport {
  std::uint64_t sequence = 0;
  Duration age{0};
  TokenCount waiting_prefill_tokens;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_requests = 0;
  TokenCount free_memory;
  TokenCount total_memory;
  /// Prefill speed over the last seconds, tokens a second; 0 if unknown.
  double prefill_rate = 0;
  /// Decode speed of one stream, tokens a second; 0 if unknown.
  double decode_rate = 0;
  /// Attempts the report accounts for, so that a sender can tell which of its
  /// own requests are already counted.
  std::vector<AttemptId> counted_attempts;
};

/// A block of a prompt entered or left an engine's prefix cache.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool is_cached = false;
  std::uint64_t block_digest = 0;
};

struct CacheEventBatch {
  std::vector<CacheEvent> events;
  std::uint64_t last_sequence = 0;
  /// Events before the batch were lost.
  bool has_gap = false;
};

enum class EngineRole { kGeneral, kPrefill, kDecode };

/// The state an engine shall be in. Orders are idempotent.
struct PlacementOrder {
  FencingNumber fencing_number;
  std::string model;
  std::string adapter;
  std::string version;
  EngineRole role = EngineRole::kGeneral;
};

/// Calls to engines. Callbacks never run inside the call.
class EngineClient {
 public:
  using DoneCallback = std::function<void(Result<void>)>;
  using ReportCallback = std::function<void(Result<EngineReport>)>;
  using HoldingsCallback =
      std::function<void(Result<std::vector<EngineHolding>>)>;
  using CacheEventsCallback = std::function<void(Result<CacheEventBatch>)>;
  using CacheTransferCallback = std::function<void(Result<SharedBytes>)>;

  virtual ~EngineClient() = default;

  /// Starts work. `observer` must outlive the returned stream.
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
  /// Gives a reservation back. Idempotent.
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
  /// Imports exported bytes into an engine's cache, held until `time_to_live`.
  virtual void ImportCache(const EngineAddress& engine,
                           const ReservationRequest& holding,
                           SharedBytes exported,
                           DoneCallback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_ENGINE_CLIENT_H_
