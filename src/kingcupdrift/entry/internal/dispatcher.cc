#include "kingcupdrift/entry/internal/dispatcher.h"

namespace kingcupdrift {

Dispatcher::Dispatcher(Clock& clock) : clock_(clock), queue_(clock) {}

void Dispatcher::Enqueue(const QueuedRequest& request,
                         DispatchDelegate& delegate) {
  delegates_[request.request] = &delegate;
  queue_.Push(request);
  ScheduleDispatch();
}

bool Dispatcher::Remove(const RequestId& request) {
  delegates_.erase(request);
  return queue_.Remove(request);
}

void Dispatcher::ScheduleDispatch() {
  if (wake_timer_ == nullptr && queue_.Size() > 0) {
    wake_timer_ = clock_.RunAfter(Duration::zero(), [this] {
      wake_timer_.reset();
      DispatchQueued();
    });
  }
}

void Dispatcher::DispatchQueued() {
  queue_.Drain([this](const QueuedRequest& request) {
    const auto it = delegates_.find(request.request);
    if (it == delegates_.end()) {
      return DispatchResult::kDispatched;
    }
    const DispatchResult result = it->second->TryDispatch();
    if (result == DispatchResult::kDispatched) {
      delegates_.erase(request.request);
    }
    return result;
  });
  poll_timer_.reset();
  if (queue_.Size() > 0) {
    poll_timer_ = clock_.RunAfter(kPollInterval, [this] { DispatchQueued(); });
  }
}

}  // namespace kingcupdrift
