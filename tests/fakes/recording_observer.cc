#include "tests/fakes/recording_observer.h"

#include <utility>

namespace kingcupdrift::fakes {

void RecordingObserver::OnAccepted(TokenCount cached_tokens) {
  is_accepted = true;
  cached = cached_tokens;
}

void RecordingObserver::OnChunk(EngineChunk chunk) {
  has_gap |= chunk.offset != tokens;
  tokens = chunk.offset + chunk.token_count;
  text += chunk.text;
}

void RecordingObserver::OnFinished(FinishReason /*reason*/,
                                   std::uint64_t total) {
  is_finished = true;
  total_tokens = total;
}

void RecordingObserver::OnFailed(Error failure) {
  error = std::move(failure);
}

}  // namespace kingcupdrift::fakes
