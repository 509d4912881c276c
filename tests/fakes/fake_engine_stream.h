#ifndef TESTS_FAKES_FAKE_ENGINE_STREAM_H_
#define TESTS_FAKES_FAKE_ENGINE_STREAM_H_

#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/engine_fleet.h"

namespace kingcupdrift::fakes {

/// One connection that carries a stream from a model to a client.
class FakeEngineStream : public EngineStream,
                         public EngineStreamObserver,
                         public EngineConnection {
 public:
  /// Runs when the request reaches the engine. The observer is null if the
  /// client has closed the connection by then.
  using Opening =
      std::function<Result<TokenCount>(EngineModel&, EngineStreamObserver*)>;

  FakeEngineStream(EngineId engine,
                   AttemptId attempt,
                   Duration latency,
                   EngineFleet& fleet,
                   Clock& clock,
                   EngineStreamObserver& observer);
  ~FakeEngineStream() override;

  /// Sends the request; `opening` runs when it arrives.
  void Open(Opening opening);

  void SetPaused(bool is_paused) override;

  void OnAccepted(TokenCount cached) override;
  void OnChunk(EngineChunk chunk) override;
  void OnFinished(FinishReason reason, std::uint64_t total_tokens) override;
  void OnFailed(Error error) override;
  void OnLinkDown() override;

 private:
  void OnArrival(const Opening& opening);
  /// Delivers an event to the client, in order, unless the link drops it.
  void Deliver(std::function<void()> event);
  /// Reports an error to the client without a message from the engine.
  void FailLocally(Error error);
  bool IsDropping(bool EngineLinkFault::*direction);

  EngineId engine_;
  AttemptId attempt_;
  Duration latency_;
  EngineFleet& fleet_;
  Clock& clock_;
  EngineStreamObserver& observer_;
  std::uint64_t opening_epoch_;
  bool is_lost_ = false;
  MonotonicTime last_delivery_;
  DelayedTaskRunner deliveries_;
  // Tells a request in flight whether the client is still connected.
  std::shared_ptr<bool> is_open_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FAKE_ENGINE_STREAM_H_
