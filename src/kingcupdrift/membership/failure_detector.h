#ifndef KINGCUPDRIFT_MEMBERSHIP_FAILURE_DETECTOR_H_
#define KINGCUPDRIFT_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Intervals, timeouts and sizes of the failure detector.
struct FailureDetectorOptions {
  /// Mean time from one periodic probe to the next; each probes one instance.
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Timeout of a direct probe. Then helpers are asked to probe the target.
  Duration direct_timeout = std::chrono::milliseconds(200);
  /// Timeout of the whole probe, direct and through helpers, from its start.
  Duration indirect_timeout = std::chrono::milliseconds(600);
  /// Most helpers asked to probe the target for this instance.
  std::size_t indirect_probe_count = 3;
};

/// Finds instances that do not answer, by direct probes and then by probes
/// through other instances (helpers). Only reports the result of each probe;
/// the owner sets the instances' states.
class FailureDetector {
 public:
  /// Sends `probe` to `receiver`: its target itself or a helper.
  using SendProbe = std::function<void(const InstanceId& receiver,
                                       const ProbeMessage& probe)>;
  /// Called once at the end of each probe.
  using LivenessCallback =
      std::function<void(const InstanceId& id, bool is_answering)>;

  FailureDetector(Clock& clock,
                  Random& random,
                  FailureDetectorOptions options,
                  SendProbe send,
                  LivenessCallback report);

  /// Starts a probe of `target`. If the direct probe times out, random ones of
  /// `helpers` are asked to probe too. Does nothing while a probe of the target
  /// is open.
  void Probe(const InstanceId& target, std::vector<InstanceId> helpers);
  /// Ends the open probe of `target`, if any: the target answered, directly or
  /// through a helper.
  void OnReply(const InstanceId& target);

  bool IsProbing(const InstanceId& target) const {
    return open_.contains(target);
  }

 private:
  struct OpenProbe {
    std::uint64_t sequence = 0;
    std::vector<InstanceId> helpers;
    std::unique_ptr<Timer> timer;
  };

  void OnDirectTimeout(const InstanceId& target);
  void OnIndirectTimeout(const InstanceId& target);

  Clock& clock_;
  Random& random_;
  FailureDetectorOptions options_;
  SendProbe send_;
  LivenessCallback report_;
  std::uint64_t next_sequence_ = 1;
  std::map<InstanceId, OpenProbe> open_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_MEMBERSHIP_FAILURE_DETECTOR_H_
