#ifndef KINGCUPDRIFT_TELEMETRY_EVENT_RING_H_
#define KINGCUPDRIFT_TELEMETRY_EVENT_RING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/telemetry/timeline_event.h"

namespace kingcupdrift {

/// Selects events by request and workspace. An empty field matches all events.
struct EventFilter {
  std::string request;
  std::string workspace;
};

bool Matches(const EventFilter& filter, const TimelineEvent& event);

/// Ring buffer of fixed capacity with the most recent events of one instance.
class EventRing {
 public:
  static constexpr std::size_t kDefaultCapacity = 16'384;

  /// Takes the events' time stamps from `clock`, which must outlive the ring.
  EventRing(InstanceId instance,
            HybridClock& clock,
            std::size_t capacity = kDefaultCapacity);

  /// Sets the event's time and instance and adds it. If the ring is full, it
  /// overwrites the oldest event.
  void Add(TimelineEvent event);
  void Add(EventKind kind, std::string detail);

  std::size_t size() const { return events_.size(); }
  /// Number of events that were overwritten.
  std::uint64_t dropped() const { return dropped_; }

  /// Matching events as JSON lines, oldest first.
  std::string ToJsonLines(const EventFilter& filter = {}) const;

 private:
  InstanceId instance_;
  HybridClock& clock_;
  std::size_t capacity_;
  std::vector<TimelineEvent> events_;
  std::size_t oldest_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_EVENT_RING_H_
