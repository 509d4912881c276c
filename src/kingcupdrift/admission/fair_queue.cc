#include "kingcupdrift/admission/fair_queue.h"

#include <map>
#include <unordered_map>
#include <utility>

#include "kingcupdrift/admission/internal/service_queue.h"

namespace kingcupdrift {

class FairQueue::Impl {
 public:
  explicit Impl(const Clock& clock) : clock_(clock) {}

  void Push(QueuedRequest request) {
    const std::uint64_t sequence = next_sequence_++;
    deadlines_.emplace(std::pair(request.deadline, sequence), request.request);
    const QueuedRequest key = request;
    ServiceQueue& queue = services_[request.service];
    queue.Push(sequence, std::move(request));
    index_.emplace(key.request, Place{sequence, key});
  }

  bool Remove(const RequestId& id) {
    const auto it = index_.find(id);
    if (it == index_.end()) {
      return false;
    }
    const Place place = std::move(it->second);
    Forget(place);
    services_[place.request.service].Take(place.sequence, place.request);
    return true;
  }

  void Drain(const TryDispatch& try_dispatch) {
    for (auto& [id, queue] : services_) {
      queue.Drain(clock_.Now(), try_dispatch, [this](const QueuedRequest& r) {
        Forget(Place(index_.at(r.request)));
      });
    }
  }

  std::vector<QueuedRequest> TakeExpired() {
    std::vector<QueuedRequest> expired;
    while (NextDeadline() <= clock_.Now()) {
      const Place place = index_.at(deadlines_.begin()->second);
      Forget(place);
      expired.push_back(
          services_[place.request.service].Take(place.sequence, place.request));
    }
    return expired;
  }

  MonotonicTime NextDeadline() const {
    return deadlines_.empty() ? MonotonicTime::max()
                              : deadlines_.begin()->first.first;
  }

  std::size_t Size() const { return index_.size(); }

  const ServiceQueue* Find(const ServiceId& service) const {
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second;
  }

 private:
  struct Place {
    std::uint64_t sequence = 0;
    QueuedRequest request;
  };

  void Forget(const Place& place) {
    deadlines_.erase({place.request.deadline, place.sequence});
    index_.erase(place.request.request);
  }

  const Clock& clock_;
  std::uint64_t next_sequence_ = 0;
  std::map<ServiceId, ServiceQueue> services_;
  std::unordered_map<RequestId, Place> index_;
  std::map<std::pair<MonotonicTime, std::uint64_t>, RequestId> deadlines_;
};

FairQueue::FairQueue(const Clock& clock)
    : impl_(std::make_unique<Impl>(clock)) {}

FairQueue::~FairQueue() = default;

void FairQueue::Push(QueuedRequest request) {
  impl_->Push(std::move(request));
}

bool FairQueue::Remove(const RequestId& request) {
  return impl_->Remove(request);
}

void FairQueue::Drain(const TryDispatch& try_dispatch) {
  impl_->Drain(try_dispatch);
}

std::vector<QueuedRequest> FairQueue::TakeExpired() {
  return impl_->TakeExpired();
}

MonotonicTime FairQueue::NextDeadline() const {
  return impl_->NextDeadline();
}

std::size_t FairQueue::Size() const {
  return impl_->Size();
}

std::size_t FairQueue::Size(const ServiceId& service) const {
  const ServiceQueue* queue = impl_->Find(service);
  return queue == nullptr ? 0 : queue->Size();
}

TokenCount FairQueue::Tokens(const ServiceId& service) const {
  const ServiceQueue* queue = impl_->Find(service);
  return queue == nullptr ? TokenCount(0) : queue->Tokens();
}

}  // namespace kingcupdrift
