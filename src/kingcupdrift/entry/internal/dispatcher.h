#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request that waits for an engine.
class DispatchDelegate {
 public:
  virtual ~DispatchDelegate() = default;
  /// Starts the request if an engine has room. Never called after the request
  /// left the queue.
  virtual DispatchResult TryDispatch() = 0;
};

/// Offers waiting requests to engines, in the order of the fair queue.
class Dispatcher {
 public:
  explicit Dispatcher(Clock& clock);

  /// `work` stays valid until dispatched or removed.
  void Enqueue(const QueuedRequest& request, DispatchDelegate& work);
  /// Takes a request out; false if it is not waiting.
  bool Remove(const RequestId& request);
  /// Room may have appeared: offers again, from the loop.
  void ScheduleDispatch();

  std::size_t Size() const { return queue_.Size(); }
  std::size_t Size(const ServiceId& service) const {
    return queue_.Size(service);
  }

 private:
  /// Room may appear without an event, as when an estimate ages.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);

  void Drain();

  Clock& clock_;
  FairQueue queue_;
  std::unordered_map<RequestId, DispatchDelegate*> delegates_;
  std::unique_ptr<Timer> wake_timer_;
  std::unique_ptr<Timer> poll_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCHER_H_
