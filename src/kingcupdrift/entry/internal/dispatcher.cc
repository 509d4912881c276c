#include "kingcupdrift/entry/internal/dispatcher.h"

namespace kingcupdrift {

Dispatcher::Dispatcher(Clock& clock) : clock_(clock), queue_(clock) {}

void Dispatcher::Enqueue(const QueuedRequest& request, QueuedWork& work) {
  work_[request.request] = &work;
  queue_.Push(request);
  Wake();
}

bool Dispatcher::Remove(const RequestId& request) {
  work_.erase(request);
  return queue_.Remove(request);
}

void Dispatcher::Wake() {
  if (wake_timer_ == nullptr && queue_.Size() > 0) {
    wake_timer_ = clock_.RunAfter(Duration::zero(), [this] {
      wake_timer_.reset();
      Drain();
    });
  }
}

void Dispatcher::Drain() {
  queue_.Drain([this](const QueuedRequest& request) {
    const auto it = work_.find(request.request);
    if (it == work_.end()) {
      return DispatchResult::kDispatched;
    }
    const DispatchResult result = it->second->TryDispatch();
    if (result == DispatchResult::kDispatched) {
      work_.erase(request.request);
    }
    return result;
  });
  poll_timer_.reset();
  if (queue_.Size() > 0) {
    poll_timer_ = clock_.RunAfter(kPollInterval, [this] { Drain(); });
  }
}

}  // namespace kingcupdrift
