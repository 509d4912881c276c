#include "tests/fakes/standin/engine_connection_standin.h"

#include <utility>

#include "tests/fakes/standin/engine_json.h"

namespace kingcupdrift::fakes {
namespace {

constexpr int kOk = 200;

}  // namespace

EngineConnectionStandin::EngineConnectionStandin(
    std::unique_ptr<HttpExchange> exchange,
    AttemptId attempt,
    CompletionKind kind,
    EngineModel& model)
    : exchange_(std::move(exchange)),
      attempt_(std::move(attempt)),
      kind_(kind),
      model_(model) {}

EngineConnectionStandin::~EngineConnectionStandin() {
  model_.Detach(attempt_, this);
}

void EngineConnectionStandin::Begin(TokenCount cached) {
  exchange_->StartChunked(kOk, {{"Content-Type", "text/event-stream"}});
  OnAccepted(cached);
}

void EngineConnectionStandin::WriteEvent(const std::string& data) {
  if (!has_stopped_sending_ && exchange_ != nullptr) {
    exchange_->WriteChunk("data: " + data + "\n\n");
  }
}

void EngineConnectionStandin::OnAccepted(TokenCount cached) {
  WriteEvent(Json{{"cached_tokens", cached.value()}}.dump());
}

void EngineConnectionStandin::OnChunk(EngineChunk chunk) {
  WriteEvent(ChunkJson(chunk, kind_).dump());
}

void EngineConnectionStandin::OnFinished(FinishReason reason,
                                         std::uint64_t total_tokens) {
  WriteEvent(FinishJson(reason, total_tokens, kind_).dump());
  WriteEvent("[DONE]");
  if (!has_stopped_sending_ && exchange_ != nullptr) {
    exchange_->EndChunked();
    exchange_.reset();
  }
}

void EngineConnectionStandin::OnFailed(Error /*error*/) {
  if (!has_stopped_sending_) {
    exchange_.reset();
  }
}

}  // namespace kingcupdrift::fakes
