#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Memory that an attempt occupies on one engine, in tokens.
struct MemoryShare {
  std::size_t slot = 0;
  double tokens = 0;
};

/// An attempt of this entry that runs at an engine or engine group.
struct LocalAttempt {
  AttemptId id;
  /// Slot of the leader.
  std::size_t slot = 0;
  int priority = 0;
  /// Prompt tokens to prefill: an estimate until the engine accepts the attempt
  /// and returns how many it found cached.
  double uncached = 0;
  double prompt_tokens = 0;
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
  std::vector<std::uint64_t> block_digests;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
