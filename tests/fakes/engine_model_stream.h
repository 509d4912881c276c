#ifndef TESTS_FAKES_ENGINE_MODEL_STREAM_H_
#define TESTS_FAKES_ENGINE_MODEL_STREAM_H_

#include <cstdint>
#include <memory>

#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

/// State of one stream, private to the sources of EngineModel.
struct EngineModel::Stream {
  EngineModelRequest request;
  EngineStreamObserver* observer = nullptr;
  bool is_paused = false;
  Phase phase = Phase::kWaiting;
  std::uint64_t order = 0;
  MonotonicTime expiry;
  std::unique_ptr<Timer> expiry_timer;
  TokenCount cached;
  std::int64_t remaining_prefill_tokens = 0;
  /// Memory counted for the stream itself, beyond reservations.
  TokenCount own_memory;
  std::uint64_t generated = 0;
  std::uint64_t sent = 0;
  std::uint64_t total = 0;
  /// Why it ended, in phase kFailed.
  Error failure;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ENGINE_MODEL_STREAM_H_
