#include "tests/fakes/prefix_cache.h"

#include <algorithm>

namespace kingcupdrift::fakes {

PrefixCache::PrefixCache(PrefixCacheOptions options,
                         const Clock& clock,
                         Random& random)
    : options_(options), clock_(clock), random_(random) {}

std::size_t PrefixCache::CountCachedPrefix(
    const std::vector<std::uint64_t>& blocks) const {
  const auto it = std::find_if(
      blocks.begin(), blocks.end(),
      [this](std::uint64_t block) { return !index_.contains(block); });
  return static_cast<std::size_t>(it - blocks.begin());
}

void PrefixCache::Insert(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    const auto it = index_.find(block);
    if (it != index_.end()) {
      recency_.splice(recency_.begin(), recency_, it->second);
      continue;
    }
    recency_.push_front(block);
    index_.emplace(block, recency_.begin());
    Record(/*is_cached=*/true, block);
  }
  EvictExcess();
}

void PrefixCache::EvictExcess() {
  while (recency_.size() > options_.capacity) {
    const std::uint64_t block = recency_.back();
    recency_.pop_back();
    index_.erase(block);
    Record(/*is_cached=*/false, block);
  }
}

void PrefixCache::Clear() {
  recency_.clear();
  index_.clear();
  events_.clear();
  last_sequence_ = 0;
}

void PrefixCache::Record(bool is_cached, std::uint64_t block) {
  ++last_sequence_;
  if (options_.lost_share > 0 && random_.NextDouble() < options_.lost_share) {
    return;
  }
  events_.push_back({{last_sequence_, is_cached, block}, clock_.Now()});
  if (events_.size() > options_.max_events) {
    events_.pop_front();
  }
}

CacheEventBatch PrefixCache::FetchEvents(std::uint64_t after) const {
  const MonotonicTime newest = clock_.Now() - options_.event_lag;
  CacheEventBatch batch;
  batch.last_sequence = std::min(after, last_sequence_);
  batch.has_gap = after > last_sequence_;
  auto it = std::lower_bound(events_.begin(), events_.end(), after + 1,
                             [](const TimedEvent& event, std::uint64_t n) {
                               return event.event.sequence < n;
                             });
  for (; it != events_.end() && it->time <= newest; ++it) {
    batch.has_gap |= it->event.sequence != batch.last_sequence + 1;
    batch.last_sequence = it->event.sequence;
    batch.events.push_back(it->event);
  }
  return batch;
}

}  // namespace kingcupdrift::fakes
