#ifndef KINGCUPDRIFT_FORWARDING_FORWARDER_H_
#define KINGCUPDRIFT_FORWARDING_FORWARDER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/cold_limit.h"
#include "kingcupdrift/forwarding/relay_peer.h"
#include "kingcupdrift/forwarding/retry_budget_share.h"
#include "kingcupdrift/forwarding/route_table.h"
#include "kingcupdrift/forwarding/target_directory.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

struct ForwarderSettings {
  /// Identifies the work of this entry (a serving process) to other entries.
  InstanceId instance;
  FailureDomain failure_domain;
  RetryBudgetSettings budget;
  /// Absent: the rate of requests to cold engines is not limited.
  std::optional<ColdBound> cold_bound = std::nullopt;
  /// Memory that this process may use; bounds what is held for callers and
  /// engines that read slowly. Absent without a limit.
  std::optional<ByteCount> memory_limit = std::nullopt;
  /// Field with which engines mark the event of a stream at which the version
  /// of their weights changes; its value is a number. Empty without one.
  std::string event_version_field = {};
};

/// Bytes held for requests, callers and engines.
struct HeldBytes {
  ByteCount held;
  /// Beyond it new requests are refused; absent without a limit.
  std::optional<ByteCount> max;
};

/// All of them outlive the forwarder.
struct ForwarderDependencies {
  Clock& clock;
  Random& random;
  TargetClient& targets;
  DecisionLog& log;
};

/// Forwards callers' requests to targets. For each request it chooses the
/// target, limits the wait, decides on retries and answers the caller.
class Forwarder {
 public:
  /// Called when the work of a prompt at engines starts (before anything is
  /// sent), changes its phase or ends.
  using WorkListener = std::function<void(const WorkNote&)>;

  virtual ~Forwarder() = default;

  static std::unique_ptr<Forwarder> Create(
      const ForwarderSettings& settings,
      const ForwarderDependencies& dependencies);

  /// Starts one request; its outcome goes to `sink`.
  virtual void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) = 0;

  /// Replaces the configuration by `config` if its version is newer.
  virtual void ApplyConfig(ServingConfig config) = 0;
  /// Null before the first configuration.
  virtual const ServingConfig* config() const = 0;

  /// Lists the target or replaces its record. Also ends its backoff, and lets
  /// waiting requests try again.
  virtual void UpdateTarget(const TargetRecord& record) = 0;
  /// Lists the target from an older copy of the store; its backoff stays. A
  /// target known to have gone since is not used, see `TargetDirectory`.
  virtual void RestoreTarget(const TargetRecord& record) = 0;
  /// Removes the target at once if `is_confirmed`. If false, the list without
  /// the target may be incomplete, and the target stays in use for
  /// `TargetDirectory::kRemovalDelay`.
  virtual void RemoveTarget(const EngineId& id, bool is_confirmed) = 0;

  /// Operators evacuate the failure domain: its targets get no request, prefill
  /// part or reservation until it is taken back. What runs there goes on.
  virtual void SetEvacuated(const FailureDomain& domain, bool is_evacuated) = 0;

  /// The list of targets is complete. Targets first listed after the first call
  /// have just started, see `ColdTargetTracker`.
  virtual void SetTargetListComplete() = 0;

  /// Announces that the entry stops at `end`. After `kStopNoticePeriod`,
  /// requests whose time limit ends after `end` are refused. Nothing happens at
  /// `end` by itself.
  virtual void SetStopDeadline(MonotonicTime end) = 0;
  /// Refuses every new request from now on. Requests that would have been
  /// accepted are refused as `kLeaving`, which guarantees that they did not
  /// run; other refusals stay as they are.
  virtual void RefuseNewRequests() = 0;
  /// Ends every request in progress, since the entry stops. Those that may have
  /// run are refused as `kTargetFailed`, others as `kLeaving`; streams that
  /// have begun are aborted.
  virtual void EndRequests() = 0;
  /// Callers have this time to go to other entries. They cache an entry's
  /// address for two seconds.
  static constexpr Duration kStopNoticePeriod = std::chrono::milliseconds(2500);

  /// Replaces the listener for this entry's work.
  virtual void SetWorkListener(WorkListener listener) = 0;
  /// Called for each engine that this entry itself suspects to be down.
  using SuspectListener = std::function<void(const EngineId&)>;
  virtual void SetSuspectListener(SuspectListener listener) = 0;
  /// Called for each engine that tells this entry that it is leaving.
  using LeavingListener = std::function<void(const LeavingEngine&)>;
  virtual void SetLeavingListener(LeavingListener listener) = 0;
  /// An engine told another entry that it is leaving: it gets no new requests.
  virtual void ApplyLeaving(const LeavingEngine& engine) = 0;
  /// All engines that are known to be leaving.
  virtual std::vector<LeavingEngine> ListLeavingEngines() const = 0;
  /// Called with what engines tell this entry about their limits.
  using LimitListener = std::function<void(const EngineLimit&)>;
  virtual void SetLimitListener(LimitListener listener) = 0;
  /// An engine told another entry about its limit.
  virtual void ApplyLimit(const EngineLimit& limit) = 0;
  virtual std::vector<EngineLimit> ListLimits() const = 0;
  /// Entries, this one included, among which the limits of engines are divided;
  /// this one alone before the first call.
  virtual void SetSendingEntries(std::vector<InstanceId> entries) = 0;
  /// Entries that serve this one's requests while it can connect to no engine;
  /// none before the first call.
  virtual void SetRelayPeers(std::vector<RelayPeer> peers) = 0;
  /// This entry can connect to no engine.
  virtual bool IsCutOff() const = 0;
  /// Called after each change of `IsCutOff`.
  virtual void SetCutOffListener(std::function<void()> listener) = 0;
  /// Called with evidence about work that may crash engines, for
  /// the other entries.
  using CrashEvidenceListener = std::function<void(const CrashEvidence&)>;
  virtual void SetCrashEvidenceListener(CrashEvidenceListener listener) = 0;
  /// Adds what another entry found out about crashes of engines.
  virtual void ApplyCrashEvidence(const CrashEvidence& evidence) = 0;
  /// Checks the engines of these crashes that are still listed: an answer shows
  /// that the entry which reported the crash lost its own links.
  virtual void CheckReportedCrashes(const CrashEvidence& evidence) = 0;
  /// Crashes of at most this age, from this and other entries.
  virtual CrashEvidence ListCrashEvidence(Duration max_age) const = 0;
  /// Keys of work that is held back.
  virtual std::vector<WorkKey> ListQuarantined() const = 0;
  /// The store's record of work that is held back was read, or deleted.
  virtual void ApplyQuarantineRecord(const WorkKey& key, bool is_present) = 0;
  /// Checks an engine that another entry suspects to be down. Does nothing if
  /// the engine is not listed.
  virtual void CheckSuspect(const EngineId& engine) = 0;
  /// Adds or updates work that the entry `owner` has at engines.
  virtual void ApplyPeerWork(const InstanceId& owner, const WorkNote& note) = 0;
  /// The work that this entry has at engines now.
  virtual std::vector<WorkNote> ListLocalWork() const = 0;
  /// Forgets all work of the entry `owner`. The entry count stays.
  virtual void DiscardPeerWork(const InstanceId& owner) = 0;
  /// Sets the number of parts into which the retry budget is divided among the
  /// entries; this one uses one part.
  virtual void SetEntryCount(std::size_t count) = 0;

  virtual std::size_t CountRequestsInProgress() const = 0;
  virtual HeldBytes GetHeldBytes() const = 0;
  /// Counters and gauges in Prometheus text exposition format.
  virtual std::string GetMetricsText() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_FORWARDER_H_
