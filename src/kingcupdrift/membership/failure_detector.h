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
  /// The owner starts these probes; the detector itself does not use this.
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Timeout of a direct probe. Then other instances, the relays, are asked to
  /// probe the target.
  Duration direct_timeout = std::chrono::milliseconds(200);
  /// Timeout of the whole probe, direct and through relays, from its start.
  Duration indirect_timeout = std::chrono::milliseconds(600);
  /// Most relays asked to probe the target for this instance. Membership also
  /// sends gossip to at most this number of peers when it refutes a report that
  /// this instance is suspect, draining or dead.
  std::size_t indirect_probe_count = 3;
};

/// Finds instances that do not answer, by direct probes and then by probes
/// through other instances (relays). Only reports the result of each probe;
/// the owner sets the instances' states.
class FailureDetector {
 public:
  /// Sends `probe` to `receiver`: its target itself or a relay.
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
  /// `relays` are asked to probe too. Does nothing while a probe of the target
  /// is open.
  void Probe(const InstanceId& target, std::vector<InstanceId> relays);
  /// Ends the open probe of `target`, if any: the target answered, directly or
  /// through a relay.
  void OnReply(const InstanceId& target);

  bool IsProbing(const InstanceId& target) const {
    return open_.contains(target);
  }

 private:
  struct OpenProbe {
    std::uint64_t sequence = 0;
    std::vector<InstanceId> relays;
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
