#ifndef KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_
#define KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The reason why a request is not admitted; the request has not run.
struct Refusal {
  /// kWorkspaceLimit, kQueueFull, kDeadlineInfeasible, kDeadlineExceeded,
  /// kNotFound (unknown service) or kUnauthorized (not allowed to use it).
  ProblemType type = ProblemType::kQueueFull;
  /// Time after which a retry is useful, from kMinRetryAfter to kMaxRetryAfter:
  ///  - kWorkspaceLimit: until the workspace's limit allows a request.
  ///  - kQueueFull: until the waiting requests of the request's own queue,
  ///    small or large, have started, although the limit counts both.
  ///  - kDeadlineInfeasible: the time by which the deadline would be missed.
  ///  - kDeadlineExceeded: `DrainTime` of the service.
  /// Meaningless for kNotFound and kUnauthorized.
  Duration retry_after{0};
};

/// The part of a request that admission control reads.
struct AdmissionRequest {
  WorkspaceId workspace;
  ServiceId service;
  /// Prompt tokens plus the output limit; zero for plain services.
  TokenCount tokens;
  /// As in `QueuedRequest`. Large and small requests wait in separate queues;
  /// this selects the queue whose drain time is estimated at arrival.
  bool is_large = false;
  MonotonicTime deadline;
  /// Expected time from dispatch to the last token (`RouteEstimate`).
  Duration predicted_total_time{0};
};

/// Admits or refuses requests at arrival, and checks their deadlines again
/// before dispatch.
///
/// Limits of a workspace hold over all entries (serving processes): peers
/// exchange running totals, and each entry charges its own token buckets with
/// the usage of the others.
/// With N entries that receive each other's totals within D, the usage admitted
/// over a time T is at most limit * (T + N * (kBurstDuration + D)) plus one
/// request per entry: a bucket that is not empty admits a request of any size
/// and goes into debt for it. Usage in the first totals that an entry gets from
/// a peer for a workspace is never charged, and comes on top of this bound.
class AdmissionController {
 public:
  /// `self` is this entry; its own totals are ignored in `OnPeerUsage`.
  AdmissionController(const Clock& clock, InstanceId self);
  ~AdmissionController();

  /// Replaces the services and workspaces by those of `config`. Those that stay
  /// keep their counts, rates, bucket levels and totals; these are lost for
  /// removed services and workspaces.
  void ApplyConfig(const SiteConfig& config);

  /// Charges each workspace with the increase since the last totals of `peer`,
  /// requests and tokens separately. The first totals of a peer for a workspace
  /// are a baseline and charge nothing. Totals that are not higher than the
  /// known ones come from late messages and are ignored; call `ForgetPeer` when
  /// a peer restarts. Unknown workspaces are ignored.
  void OnPeerUsage(const InstanceId& peer,
                   const std::vector<WorkspaceUsage>& usage);
  /// Call when a peer is gone or has restarted. Its next totals for each
  /// workspace are a new baseline and charge nothing.
  void ForgetPeer(const InstanceId& peer);
  /// Running totals of this entry's own usage for at most `max_items`
  /// workspaces; repeated calls cycle through all workspaces that it served.
  std::vector<WorkspaceUsage> CollectLocalUsage(std::size_t max_items);

  /// Admits or refuses a request at arrival. On success the workspace is
  /// charged and the request counts as waiting until `OnStarted` or
  /// `OnAbandoned`.
  tl::expected<void, Refusal> Admit(const AdmissionRequest& request);

  /// Checks right before dispatch, with the estimate of the chosen route, only
  /// that the deadline can still be met. Charges nothing.
  tl::expected<void, Refusal> CheckBeforeDispatch(
      const AdmissionRequest& request) const;

  /// Call when an admitted request leaves the queue to run on an engine.
  void OnStarted(const AdmissionRequest& request);
  /// Call when an admitted request leaves the queue without running; its charge
  /// is refunded.
  void OnAbandoned(const AdmissionRequest& request);

  /// Estimated time until all requests of `service` that wait now have started:
  /// waiting tokens divided by the rate at which tokens start, the longer one
  /// of small and large requests, at most an hour. Zero if the waiting requests
  /// have no tokens, as for plain services, and for an unknown service.
  Duration DrainTime(const ServiceId& service) const;

  /// Sets the expected drain rate to this entry's share of the engines' prefill
  /// speed, in tokens per second. It isn't only a fallback: it always stays
  /// part of the estimated rate, with the weight of half a second of
  /// measurement, and applies in full to small and to large requests.
  /// `ApplyConfig` drops it with the service. Unknown services are ignored.
  void SetFallbackDrainRate(const ServiceId& service, double tokens_per_second);

  /// Number of admitted requests, small and large, that have neither started
  /// nor been abandoned.
  std::size_t Waiting(const ServiceId& service) const;

  /// A workspace's token bucket holds at most what its limit allows in this
  /// time.
  static constexpr Duration kBurstDuration = std::chrono::seconds(1);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::minutes(5);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_ADMISSION_CONTROLLER_H_
