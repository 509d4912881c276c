#ifndef TESTS_FAKES_FAKE_ENGINE_CLIENT_H_
#define TESTS_FAKES_FAKE_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/engine_fleet.h"

namespace kingcupdrift::fakes {

/// Computes the digests of a request's prompt for the model.
using PromptReader = std::function<PromptDigests(const EngineStreamRequest&)>;

/// Takes the seed of the answer from the whole body and returns no blocks.
PromptDigests DigestBodyOnly(const EngineStreamRequest& request);

struct FakeEngineClientOptions {
  /// Owner of the work that this client starts.
  InstanceId owner;
  /// One-way latency.
  Duration latency = std::chrono::microseconds(500);
  /// Timeout of a control call.
  Duration call_timeout = std::chrono::seconds(2);
  PromptReader read_prompt = DigestBodyOnly;
};

/// Calls the models of a fleet in process, with latency and faults. One client
/// represents one entry (a serving process). Closing and destroying it
/// simulates the death of that entry: its messages in flight still arrive, and
/// no callback runs afterwards.
class FakeEngineClient : public EngineClient {
 public:
  FakeEngineClient(FakeEngineClientOptions options,
                   EngineFleet& fleet,
                   Clock& clock);
  ~FakeEngineClient() override;

  /// Marks the process as dead: later control calls do nothing. Streams are not
  /// affected, and Start and Resume still open new ones.
  void Close() { is_closed_ = true; }

  std::unique_ptr<EngineStream> Start(const EngineAddress& engine,
                                      const EngineStreamRequest& request,
                                      EngineStreamObserver& observer) override;
  std::unique_ptr<EngineStream> Resume(const EngineAddress& engine,
                                       const AttemptId& attempt,
                                       std::uint64_t offset,
                                       EngineStreamObserver& observer) override;
  void Cancel(const EngineAddress& engine,
              const AttemptId& attempt,
              DoneCallback callback) override;
  void Reserve(const EngineAddress& engine,
               const ReservationRequest& request,
               DoneCallback callback) override;
  void Release(const EngineAddress& engine,
               const ReservationId& reservation,
               DoneCallback callback) override;
  void ListHoldings(const EngineAddress& engine,
                    HoldingsCallback callback) override;
  void FetchReport(const EngineAddress& engine,
                   ReportCallback callback) override;
  void FetchCacheEvents(const EngineAddress& engine,
                        std::uint64_t after_sequence,
                        CacheEventsCallback callback) override;
  void SendPlacementOrder(const EngineAddress& engine,
                          const PlacementOrder& order,
                          DoneCallback callback) override;
  void ExportCache(const EngineAddress& engine,
                   const std::vector<std::uint64_t>& block_digests,
                   CacheTransferCallback callback) override;
  void ImportCache(const EngineAddress& engine,
                   const ReservationRequest& holding,
                   SharedBytes exported,
                   DoneCallback callback) override;

 private:
  /// Runs `action` on the engine's model and `callback` with its result; a call
  /// without an answer fails with `no_answer_code`.
  template <typename T>
  void CallModel(const EngineId& engine,
                 ErrorCode no_answer_code,
                 std::function<Result<T>(EngineModel&)> action,
                 std::function<void(Result<T>)> callback);
  /// Current latency in one direction, faults included.
  Duration OneWay(const EngineId& engine);

  FakeEngineClientOptions options_;
  EngineFleet& fleet_;
  Clock& clock_;
  bool is_closed_ = false;
  // Shared with messages in flight, which may outlive the client.
  std::shared_ptr<DelayedTaskRunner> replies_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FAKE_ENGINE_CLIENT_H_
