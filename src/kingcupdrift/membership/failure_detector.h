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

/// Timing of the failure detector.
struct FailureDetectorOptions {
  /// Time between probes of different instances.
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Wait for a direct answer before other instances are asked to probe.
  Duration direct_timeout = std::chrono::milliseconds(200);
  /// Wait for an answer by any way.
  Duration indirect_timeout = std::chrono::milliseconds(600);
  /// Instances asked to probe on this one's behalf.
  std::size_t indirect_probe_count = 3;
};

/// Finds instances that do not answer, by direct probes and then by probes
/// through other instances. Reports evidence only; the owner decides on states.
class FailureDetector {
 public:
  using SendProbe =
      std::function<void(const InstanceId& via, const ProbeMessage& probe)>;
  using LivenessCallback =
      std::function<void(const InstanceId& id, bool is_answering)>;

  FailureDetector(Clock& clock,
                  Random& random,
                  FailureDetectorOptions options,
                  SendProbe send,
                  LivenessCallback report);

  /// Starts one probe of `target` with help from some of `helpers`. Ignored
  /// while a probe of the target is open.
  void Probe(const InstanceId& target, std::vector<InstanceId> helpers);
  /// A reply arrived, from the target or through a helper.
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
