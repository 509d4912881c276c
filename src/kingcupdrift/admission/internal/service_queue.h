#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_SERVICE_QUEUE_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_SERVICE_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "kingcupdrift/admission/fair_queue.h"
#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Waiting requests of one service, in the order that `FairQueue` documents.
class ServiceQueue {
 public:
  using TryDispatch = FairQueue::TryDispatch;
  /// Called with each request that was dispatched.
  using DispatchedCallback = std::function<void(const QueuedRequest&)>;

  /// `sequence` is the position in the order of arrival and the key for `Take`;
  /// `QueuedRequest::arrival` is not read.
  void Push(std::uint64_t sequence, QueuedRequest request);
  /// Removes the request that was pushed with `sequence`. It must wait here,
  /// and `request` must equal it in `is_large`, `priority`, `workspace` and
  /// `tokens`. Taking the oldest large request also ends its being blocked.
  QueuedRequest Take(std::uint64_t sequence, const QueuedRequest& request);
  void Drain(MonotonicTime now,
             const TryDispatch& try_dispatch,
             const DispatchedCallback& on_dispatched);

  std::size_t Size() const { return small_count_ + large_.size(); }
  TokenCount Tokens() const { return tokens_; }

 private:
  using Items = std::map<std::uint64_t, QueuedRequest>;

  /// Small requests of one workspace and priority.
  struct Flow {
    Items items;
    /// Virtual time at which the flow's next request starts.
    double virtual_start = 0;
  };

  /// All flows of one priority: start-time fair queueing.
  struct Level {
    std::map<WorkspaceId, Flow> flows;
    /// Flows with requests, by virtual start.
    std::set<std::pair<double, WorkspaceId>> ready;
    double virtual_time = 0;
  };

  enum class OfferResult { kDispatched, kNoCapacity, kNothing };

  OfferResult OfferLarge(MonotonicTime now,
                         const TryDispatch& try_dispatch,
                         const DispatchedCallback& on_dispatched);
  void DrainSmall(MonotonicTime now,
                  const TryDispatch& try_dispatch,
                  const DispatchedCallback& on_dispatched);
  void CountOvertaking(const QueuedRequest& request, MonotonicTime now);
  /// Offers the oldest request of each flow, and the next one of a flow that
  /// started one, until none starts. Returns false, which ends the drain, once
  /// `kMaxMisses` requests of this drain were held or found no capacity;
  /// `misses` counts them.
  bool DrainLevel(Level& level,
                  MonotonicTime now,
                  const TryDispatch& try_dispatch,
                  const DispatchedCallback& on_dispatched,
                  int& misses);
  /// Removes the oldest request of a flow, which starts, and charges the flow
  /// for it.
  void RemoveHead(Level& level, const WorkspaceId& workspace);
  bool CanStartLarge() const;
  bool IsHolding(MonotonicTime now) const;
  bool IsHeld(const QueuedRequest& request, MonotonicTime now) const;

  std::map<int, Level, std::greater<>> levels_;
  std::size_t small_count_ = 0;
  /// Oldest first.
  Items large_;
  TokenCount tokens_;
  /// Small requests started since the last large one. It starts high enough
  /// that the first large request need not wait.
  int starts_since_large_ = FairQueue::kStartsPerLargeStart;
  /// True if the oldest large request found no capacity; `overtaking_` counts
  /// the tokens of the small requests that started since.
  bool is_large_blocked_ = false;
  TokenCount overtaking_;
  MonotonicTime hold_until_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_SERVICE_QUEUE_H_
