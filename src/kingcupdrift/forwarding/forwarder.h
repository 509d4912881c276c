#ifndef KINGCUPDRIFT_FORWARDING_FORWARDER_H_
#define KINGCUPDRIFT_FORWARDING_FORWARDER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/retry_budget_share.h"
#include "kingcupdrift/forwarding/route_table.h"
#include "kingcupdrift/forwarding/target_directory.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

struct ForwarderSettings {
  /// Names this entry's sends towards other entries.
  InstanceId instance;
  FailureDomain failure_domain;
  RetryBudgetSettings budget;
};

/// Outlive the forwarder.
struct ForwarderDependencies {
  Clock& clock;
  Random& random;
  TargetClient& targets;
  DecisionLog& log;
};

/// Passes callers' requests on to targets and owns the outcome of each: where
/// it goes, how long it waits, whether it is sent again, and what its caller is
/// told.
class Forwarder {
 public:
  /// Told what this entry sends, for the other entries.
  using WorkListener = std::function<void(const WorkNote&)>;

  virtual ~Forwarder() = default;

  static std::unique_ptr<Forwarder> Create(
      const ForwarderSettings& settings,
      const ForwarderDependencies& dependencies);

  /// Handles one request to its end.
  virtual void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) = 0;

  /// Takes a configuration into use unless a newer one is.
  virtual void ApplyConfig(ServingConfig config) = 0;
  /// Null before the first configuration.
  virtual const ServingConfig* config() const = 0;

  virtual void UpdateTarget(const TargetRecord& record) = 0;
  /// `is_confirmed`: false if the list that misses the target may be
  /// incomplete.
  virtual void RemoveTarget(const EngineId& id, bool is_confirmed) = 0;

  /// The entry stops at `end`. Requests that may last longer are refused once
  /// callers have had `kStopNoticePeriod` to go elsewhere.
  virtual void SetStopDeadline(MonotonicTime end) = 0;
  /// From now on every new request is refused as not run.
  virtual void RefuseNewRequests() = 0;
  /// Callers keep an address answer for two seconds.
  static constexpr Duration kStopNoticePeriod = std::chrono::milliseconds(2500);

  virtual void SetWorkListener(WorkListener listener) = 0;
  /// Told which engines this entry suspects not to answer, for the others.
  using SuspectListener = std::function<void(const EngineId&)>;
  virtual void SetSuspectListener(SuspectListener listener) = 0;
  /// Another entry suspects an engine.
  virtual void CheckSuspect(const EngineId& engine) = 0;
  virtual void ApplyPeerWork(const InstanceId& owner, const WorkNote& note) = 0;
  /// This entry's own work under way, for an entry that has just come.
  virtual std::vector<WorkNote> ListLocalWork() const = 0;
  virtual void DiscardPeerWork(const InstanceId& owner) = 0;
  /// Entries that share the budget of further sends, this one included.
  virtual void SetEntryCount(std::size_t count) = 0;

  virtual std::size_t CountRequestsInProgress() const = 0;
  /// Text exposition format of the counters.
  virtual std::string GetMetricsText() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_FORWARDER_H_
