#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/internal/wait_order.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// A request that waits for capacity at its targets.
class Waiter {
 public:
  virtual ~Waiter() = default;
  /// Tries to send the request; false if it must wait longer. May end it. If
  /// `may_start` is false, a more urgent request waits for the same capacity:
  /// the request is not sent, but ends if it can't be served any more.
  virtual bool TryResume(bool may_start) = 0;
};

/// Waiting requests, tried in the order that `WaitOrder` documents. A request
/// that could not start and holds others (`WaitOrder::IsHolding`) keeps the
/// less urgent ones of its service from starting. A request that has aged or
/// was promoted, and could not start, keeps all that come after it from
/// starting, for `kAgedHoldTime` in each `kAgedHoldPeriod`: otherwise a large
/// prompt, which needs much capacity at once, would be overtaken by short ones
/// that each take the little that becomes free. Capacity may become free
/// without a message to this entry (the serving process), so requests also try
/// at intervals.
class WaitQueue {
 public:
  WaitQueue(Clock& clock, DecisionLog& log)
      : clock_(clock), log_(log), order_(clock) {}

  /// Adds a request, or moves it to the end of its equals.
  void Add(Waiter& waiter, const WaitInfo& info);
  /// Removes a request that ended without a start, if it waits.
  void Remove(Waiter& waiter);
  /// Counts the start of a request that did not wait.
  void CountStart(const WaitInfo& info) { order_.CountStart(info); }
  /// Returns whether an arriving request must not start before the waiting
  /// ones. It is added then, and tried in its order in a later turn of the
  /// event loop.
  bool IsPreceded(const WaitInfo& arriving) const {
    return order_.IsPreceded(arriving, waiting_);
  }
  /// Inside `Waiter::TryResume`: work of the requests of the same service that
  /// come before this one and still wait. Otherwise zero.
  Duration work_ahead() const { return work_ahead_; }
  /// Lets the waiting requests try in a later turn of the event loop.
  void Wake();
  std::size_t size() const { return waiters_.size(); }
  /// Waiting requests by priority, also of priorities without any now that have
  /// had some before.
  const std::map<int, std::size_t>& sizes_by_priority() const {
    return sizes_by_priority_;
  }
  /// Starts of promoted requests.
  std::uint64_t promoted_starts() const { return promoted_starts_; }
  /// Times that requests of a service began to be held.
  std::uint64_t holds() const { return holds_; }

  /// Interval between tries; short compared with the target latency of any
  /// route.
  static constexpr Duration kInterval = std::chrono::milliseconds(15);
  /// Shorter than the longest wait of any prompt, so that none is lost for a
  /// hold alone.
  static constexpr Duration kAgedHoldTime = std::chrono::seconds(1);
  static constexpr Duration kAgedHoldPeriod = std::chrono::seconds(5);

 private:
  void Schedule(Duration delay);
  void Run();
  /// Takes the request out without counting it as started or lost.
  WaitInfo Take(std::uint64_t number);
  /// Counts the start of a request that waited.
  void CountWaiterStart(const WaitPosition& position);
  /// An aged request of the service may hold those after it now.
  bool MayHoldForAged(const ServiceId& service);
  void UpdateHolds(std::map<ServiceId, int> holds);

  Clock& clock_;
  DecisionLog& log_;
  WaitOrder order_;
  WaitOrder::Waiting waiting_;
  std::map<std::uint64_t, Waiter*> waiters_;
  std::map<Waiter*, std::uint64_t> numbers_;
  std::map<int, std::size_t> sizes_by_priority_;
  /// Level above which the requests of a service were held in the last run.
  std::map<ServiceId, int> holds_by_service_;
  /// Start of the last hold for aged requests, by service.
  std::map<ServiceId, MonotonicTime> aged_holds_;
  Duration work_ahead_{0};
  std::uint64_t promoted_starts_ = 0;
  std::uint64_t holds_ = 0;
  std::uint64_t next_number_ = 0;
  bool is_woken_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WAIT_QUEUE_H_
