#ifndef KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_
#define KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Why a request is not admitted; it was not run.
struct Refusal {
  /// kWorkspaceLimit, kQueueFull, kDeadlineInfeasible, kDeadlineExceeded,
  /// kNotFound (unknown service) or kUnauthorized (not allowed to use it).
  ProblemType type = ProblemType::kQueueFull;
  /// From the backlog and the drain rate, or from the workspace's limit.
  Duration retry_after{0};
};

/// What admission needs to know of a request.
struct AdmissionRequest {
  WorkspaceId workspace;
  ServiceId service;
  /// Prompt and output tokens; zero for plain services.
  TokenCount tokens;
  /// As in `QueuedRequest`: waits beside the smaller ones, not behind them.
  bool is_large = false;
  MonotonicTime deadline;
  /// Expected time from the dispatch to the last token (`RouteEstimate`).
  Duration predicted_total_time{0};
};

/// Decides at arrival whether a request may enter, and again before dispatch.
///
/// Limits of a workspace hold over all entries: peers exchange running totals,
/// and each entry charges its own buckets with what the others used. With N
/// entries that hear each other within D, what is admitted over a time T is at
/// most limit * (T + N * (kBurstDuration + D)) plus one request an entry: a
/// bucket with anything left admits a request of any size and goes into debt
/// for it.
class AdmissionController {
 public:
  AdmissionController(const Clock& clock, InstanceId instance);
  ~AdmissionController();

  void ApplyConfig(const SiteConfig& config);

  /// Running totals of another entry. Totals lower than known ones are late
  /// messages and are ignored; call `ForgetPeer` when a peer restarts.
  void OnPeerUsage(const InstanceId& peer,
                   const std::vector<WorkspaceUsage>& usage);
  /// A peer is gone or restarted; its next totals count from there on.
  void ForgetPeer(const InstanceId& peer);
  /// Own totals, at most `max_items`; repeated calls go round all workspaces
  /// that this entry served.
  std::vector<WorkspaceUsage> CollectLocalUsage(std::size_t max_items);

  /// Decides at arrival. On success the workspace's usage is charged and the
  /// request counts as waiting until `OnStarted` or `OnAbandoned`.
  tl::expected<void, Refusal> Admit(const AdmissionRequest& request);

  /// Decides again right before dispatch, with the estimate of the chosen
  /// route. Charges nothing.
  tl::expected<void, Refusal> CheckBeforeDispatch(
      const AdmissionRequest& request) const;

  /// An admitted request left the queue towards an engine.
  void OnStarted(const AdmissionRequest& request);
  /// An admitted request left the queue without running; what it was charged is
  /// given back.
  void OnAbandoned(const AdmissionRequest& request);

  /// Time until the backlog of `service` has drained at the measured rate.
  Duration DrainTime(const ServiceId& service) const;

  /// This entry's share of the engines' prefill speed, tokens a second; used
  /// until a drain rate has been measured.
  void SetFallbackDrainRate(const ServiceId& service, double tokens_per_second);

  std::size_t Waiting(const ServiceId& service) const;

  /// Burst that a workspace may use at once, in time at its limit.
  static constexpr Duration kBurstDuration = std::chrono::seconds(1);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::minutes(5);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_
