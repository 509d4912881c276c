#ifndef KINGCUPDRIFT_TELEMETRY_EVENT_RING_H_
#define KINGCUPDRIFT_TELEMETRY_EVENT_RING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/telemetry/timeline_event.h"

namespace kingcupdrift {

/// Which events to write; empty fields match all.
struct EventFilter {
  std::string request;
  std::string workspace;
};

bool Matches(const EventFilter& filter, const TimelineEvent& event);

/// The most recent events of one instance, in a buffer of fixed capacity.
class EventRing {
 public:
  static constexpr std::size_t kDefaultCapacity = 16'384;

  /// Stamps events from `clock`, which outlives the ring.
  EventRing(InstanceId instance,
            HybridClock& clock,
            std::size_t capacity = kDefaultCapacity);

  /// Stamps the event's time and instance, and keeps it in place of the oldest
  /// when the ring is full.
  void Add(TimelineEvent event);
  void Add(EventKind kind, std::string detail);

  std::size_t size() const { return events_.size(); }
  /// Events that were overwritten.
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
