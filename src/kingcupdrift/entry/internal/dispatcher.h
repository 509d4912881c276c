#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request in the dispatcher's queue.
class DispatchDelegate {
 public:
  virtual ~DispatchDelegate() = default;
  /// Starts the request, or ends it with a refusal, and returns kDispatched;
  /// returns kNoCapacity to stay queued. Never called after the request left
  /// the queue.
  virtual DispatchResult TryDispatch() = 0;
};

/// Dispatches queued requests to engines, in the order of the fair queue.
class Dispatcher {
 public:
  explicit Dispatcher(Clock& clock);

  /// `delegate` must stay valid until dispatched or removed.
  void Enqueue(const QueuedRequest& request, DispatchDelegate& delegate);
  /// Removes a request; false if it is not queued.
  bool Remove(const RequestId& request);
  /// Tries the queue again on the next loop turn, as capacity may be free.
  void ScheduleDispatch();

  std::size_t Size() const { return queue_.Size(); }
  std::size_t Size(const ServiceId& service) const {
    return queue_.Size(service);
  }

 private:
  /// Queued requests are tried again at this interval, since the router may
  /// regard an engine as free merely because time passed.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);

  void DispatchQueued();

  Clock& clock_;
  FairQueue queue_;
  std::unordered_map<RequestId, DispatchDelegate*> delegates_;
  std::unique_ptr<Timer> wake_timer_;
  std::unique_ptr<Timer> poll_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_
