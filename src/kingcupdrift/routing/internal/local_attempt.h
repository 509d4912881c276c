#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Memory that an attempt takes on one engine.
struct MemoryShare {
  std::size_t slot = 0;
  double tokens = 0;
};

/// An attempt of this entry that runs at an engine.
struct LocalAttempt {
  AttemptId id;
  /// Slot of the leader.
  std::size_t slot = 0;
  int priority = 0;
  /// Prompt tokens to prefill; known better once the engine accepted it.
  double uncached = 0;
  double prompt_tokens = 0;
  double expected_cached = 0;
  /// The leader's share comes first.
  std::vector<MemoryShare> memory;
  MonotonicTime dispatched_at;
  Duration predicted_time_to_first_token{0};
  /// The engine had nothing to do, as far as was known at the dispatch.
  bool was_idle = false;
  bool has_first_token = false;
  /// The engine's last report accounts for it.
  bool is_in_report = false;
  std::vector<std::uint64_t> block_digests;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_LOCAL_ATTEMPT_H_
