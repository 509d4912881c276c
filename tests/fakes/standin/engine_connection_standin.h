#ifndef TESTS_FAKES_STANDIN_ENGINE_CONNECTION_STANDIN_H_
#define TESTS_FAKES_STANDIN_ENGINE_CONNECTION_STANDIN_H_

#include <memory>
#include <string>
#include <utility>

#include "kingcupdrift/net/net.h"
#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

/// Writes one stream of the model as server-sent events.
class EngineConnectionStandin : public EngineStreamObserver {
 public:
  EngineConnectionStandin(std::unique_ptr<HttpExchange> exchange,
                          AttemptId attempt,
                          CompletionKind kind,
                          EngineModel& model);
  ~EngineConnectionStandin() override;

  /// Sends the response head and the first event.
  void Begin(TokenCount cached);
  /// Sends nothing from now on but keeps the connection open.
  void StopSending() { has_stopped_sending_ = true; }
  bool is_closed() const { return exchange_ == nullptr; }
  HttpExchange& exchange() { return *exchange_; }
  std::unique_ptr<HttpExchange> TakeExchange() { return std::move(exchange_); }

  void OnAccepted(TokenCount cached) override;
  void OnChunk(EngineChunk chunk) override;
  void OnFinished(FinishReason reason, std::uint64_t total_tokens) override;
  void OnFailed(Error error) override;

 private:
  void WriteEvent(const std::string& data);

  std::unique_ptr<HttpExchange> exchange_;
  AttemptId attempt_;
  CompletionKind kind_;
  EngineModel& model_;
  bool has_stopped_sending_ = false;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_ENGINE_CONNECTION_STANDIN_H_
