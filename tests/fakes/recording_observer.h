#ifndef TESTS_FAKES_RECORDING_OBSERVER_H_
#define TESTS_FAKES_RECORDING_OBSERVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift::fakes {

/// Records the events of an engine stream.
class RecordingObserver : public EngineStreamObserver {
 public:
  void OnAccepted(TokenCount cached) override;
  void OnChunk(EngineChunk chunk) override;
  void OnFinished(FinishReason reason, std::uint64_t total_tokens) override;
  void OnFailed(Error error) override;

  bool is_ended() const { return is_finished || error.has_value(); }

  bool is_accepted = false;
  TokenCount cached;
  /// Offset expected next, that is after the last chunk; a chunk at another
  /// offset sets `has_gap`.
  std::uint64_t tokens = 0;
  std::string text;
  bool has_gap = false;
  bool is_finished = false;
  std::uint64_t total_tokens = 0;
  std::optional<Error> error;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_RECORDING_OBSERVER_H_
