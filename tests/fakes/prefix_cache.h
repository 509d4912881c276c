#ifndef TESTS_FAKES_PREFIX_CACHE_H_
#define TESTS_FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift::fakes {

struct PrefixCacheOptions {
  /// Capacity in blocks.
  std::size_t capacity = 1000;
  /// Delay until an event can be fetched.
  Duration event_lag = std::chrono::milliseconds(500);
  /// Share of events that are lost, in [0, 1].
  double lost_share = 0;
  /// Maximum number of events kept for fetching; older ones are lost.
  std::size_t max_events = 100'000;
};

/// An engine's cache of prompt blocks; it evicts the least recently used first.
/// Its events are delayed and lost as configured.
class PrefixCache {
 public:
  PrefixCache(PrefixCacheOptions options, const Clock& clock, Random& random);

  /// Number of leading blocks that are cached.
  std::size_t CountCachedPrefix(const std::vector<std::uint64_t>& blocks) const;
  /// Adds the blocks and marks them as most recently used.
  void Insert(const std::vector<std::uint64_t>& blocks);
  bool Contains(std::uint64_t block) const { return index_.contains(block); }
  /// Drops every block and event, as a restart does, and starts the sequence at
  /// 0 again, which readers of the events see as a gap.
  void Clear();

  /// Returns the events with a sequence above `after` that are at least
  /// `event_lag` old.
  CacheEventBatch FetchEvents(std::uint64_t after) const;

 private:
  struct TimedEvent {
    CacheEvent event;
    MonotonicTime time;
  };

  void Record(bool is_cached, std::uint64_t block);
  void EvictExcess();

  PrefixCacheOptions options_;
  const Clock& clock_;
  Random& random_;
  // Most recently used first.
  std::list<std::uint64_t> recency_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::deque<TimedEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_PREFIX_CACHE_H_
