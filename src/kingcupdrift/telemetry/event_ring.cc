#include "kingcupdrift/telemetry/event_ring.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

bool Matches(const EventFilter& filter, const TimelineEvent& event) {
  return (filter.request.empty() || filter.request == event.request.value()) &&
         (filter.workspace.empty() ||
          filter.workspace == event.workspace.value());
}

EventRing::EventRing(InstanceId instance,
                     HybridClock& clock,
                     std::size_t capacity)
    : instance_(std::move(instance)),
      clock_(clock),
      capacity_(std::max<std::size_t>(capacity, 1)) {}

void EventRing::Add(TimelineEvent event) {
  event.time = clock_.Tick();
  event.instance = instance_;
  if (event.detail.size() > kMaxEventDetailBytes) {
    event.detail.resize(kMaxEventDetailBytes);
  }
  if (events_.size() < capacity_) {
    events_.push_back(std::move(event));
    return;
  }
  events_[oldest_] = std::move(event);
  oldest_ = (oldest_ + 1) % capacity_;
  ++dropped_;
}

void EventRing::Add(EventKind kind, std::string detail) {
  TimelineEvent event;
  event.kind = kind;
  event.detail = std::move(detail);
  Add(std::move(event));
}

std::string EventRing::ToJsonLines(const EventFilter& filter) const {
  std::string out;
  for (std::size_t i = 0; i < events_.size(); ++i) {
    const TimelineEvent& event = events_[(oldest_ + i) % events_.size()];
    if (Matches(filter, event)) {
      out += ToJsonLine(event);
      out += '\n';
    }
  }
  return out;
}

}  // namespace kingcupdrift
