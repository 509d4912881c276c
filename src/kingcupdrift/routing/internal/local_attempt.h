#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Memory that an attempt occupies on one engine, in tokens.
struct MemoryShare {
  /// Index of the engine in its `ServicePool`.
  std::size_t slot = 0;
  double tokens = 0;
};

/// An attempt of this entry (the serving process) that runs at an engine or
/// engine group.
struct LocalAttempt {
  AttemptId id;
  /// Index of the leader in its `ServicePool`.
  std::size_t slot = 0;
  /// Value of `Route::engine_priority`.
  int priority = 0;
  /// Prompt tokens to prefill: an estimate until the engine accepts the attempt
  /// and returns how many it found cached.
  double uncached = 0;
  double prompt_tokens = 0;
  /// Cached tokens at the leader according to the prefix index, not corrected
  /// by the accuracy of its predictions.
  double expected_cached = 0;
  /// The leader's share comes first.
  std::vector<MemoryShare> memory;
  MonotonicTime dispatched_at;
  Duration predicted_time_to_first_token{0};
  /// The leader had no requests in flight that this entry knew of at the
  /// dispatch.
  bool was_idle = false;
  bool has_first_token = false;
  /// The leader's last report counts the attempt.
  bool is_in_report = false;
  /// Digests of the first 4096 prompt blocks at most, which are added to the
  /// prefix index at the first token.
  std::vector<std::uint64_t> block_digests;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
