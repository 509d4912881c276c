#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_POOL_QUERY_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_POOL_QUERY_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/routing/internal/prefix_index.h"
#include "kingcupdrift/routing/route.h"

namespace kingcupdrift {

/// A request and the values that one routing decision derives from it.
struct PoolQuery {
  const RouteRequest* request = nullptr;
  MonotonicTime now;
  double prompt_tokens = 0;
  /// Prompt and maximum output tokens.
  double memory_tokens = 0;
  int engine_priority = 0;
  /// Share of the waiting work of other entries (serving processes) that is
  /// expected to run before this request.
  double share_ahead = 0;
  /// Mean tokens per block of this prompt; zero without block digests.
  double tokens_per_block = 0;
  PrefixIndex::Depths depths{};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_POOL_QUERY_H_
