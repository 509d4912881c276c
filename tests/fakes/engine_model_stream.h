#ifndef TESTS_FAKES_ENGINE_MODEL_STREAM_H_
#define TESTS_FAKES_ENGINE_MODEL_STREAM_H_

#include <cstdint>
#include <memory>

#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

/// State of one stream; only the sources of EngineModel use it.
struct EngineModel::Stream {
  EngineModelRequest request;
  EngineStreamObserver* observer = nullptr;
  bool is_paused = false;
  Phase phase = Phase::kWaiting;
  /// Position in order of arrival.
  std::uint64_t arrival = 0;
  MonotonicTime expiry;
  std::unique_ptr<Timer> expiry_timer;
  TokenCount cached;
  std::int64_t remaining_prefill_tokens = 0;
  /// Memory held by the stream itself, without its reservations.
  TokenCount own_memory;
  /// Offsets in the whole answer, the tokens emitted by earlier attempts
  /// included: generated, sent to an observer, and the answer's end.
  std::uint64_t generated = 0;
  std::uint64_t sent = 0;
  std::uint64_t total = 0;
  /// Reason of the failure in phase kFailed.
  Error failure;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ENGINE_MODEL_STREAM_H_
