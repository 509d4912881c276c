#include "kingcupdrift/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

FailureDetector::FailureDetector(Clock& clock,
                                 Random& random,
                                 FailureDetectorOptions options,
                                 SendProbe send,
                                 LivenessCallback report)
    : clock_(clock),
      random_(random),
      options_(options),
      send_(std::move(send)),
      report_(std::move(report)) {}

void FailureDetector::Probe(const InstanceId& target,
                            std::vector<InstanceId> relays) {
  if (IsProbing(target)) {
    return;
  }
  OpenProbe probe;
  probe.sequence = next_sequence_++;
  probe.relays = std::move(relays);
  probe.timer = clock_.RunAfter(options_.direct_timeout,
                                [this, target] { OnDirectTimeout(target); });
  send_(target, ProbeMessage{probe.sequence, target});
  open_.emplace(target, std::move(probe));
}

void FailureDetector::OnReply(const InstanceId& target) {
  if (open_.erase(target) > 0) {
    report_(target, true);
  }
}

void FailureDetector::OnDirectTimeout(const InstanceId& target) {
  OpenProbe& probe = open_.at(target);
  for (std::size_t i = 0;
       i < options_.indirect_probe_count && !probe.relays.empty(); ++i) {
    const std::size_t pick = random_.NextBelow(probe.relays.size());
    std::swap(probe.relays[pick], probe.relays.back());
    send_(probe.relays.back(), ProbeMessage{probe.sequence, target});
    probe.relays.pop_back();
  }
  // The direct probe is repeated, since one lost message does not show that the
  // target is down.
  send_(target, ProbeMessage{probe.sequence, target});
  const Duration time_left =
      options_.indirect_timeout - options_.direct_timeout;
  probe.timer =
      clock_.RunAfter(time_left, [this, target] { OnIndirectTimeout(target); });
}

void FailureDetector::OnIndirectTimeout(const InstanceId& target) {
  open_.erase(target);
  report_(target, false);
}

}  // namespace kingcupdrift
