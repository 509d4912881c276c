#ifndef KINGCUPDRIFT_ROUTING_ROUTER_H_
#define KINGCUPDRIFT_ROUTING_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/routing/route.h"
#include "kingcupdrift/routing/routing_policy.h"

namespace kingcupdrift {

/// How an attempt ended. It decides whether the leader of the route, the engine
/// that got the request, is ejected.
enum class AttemptResult {
  /// Clears the leader's count of faults and its ejection.
  kSuccess,
  /// The engine failed, closed the connection early or stopped responding.
  /// Counts as a fault of the leader; repeated faults eject it.
  kEngineFault,
  /// The engine declined for lack of capacity. No effect on ejection.
  kDeclined,
  /// The attempt ended for another reason, such as a caller that disconnected.
  /// No effect on ejection.
  kCancelled,
};

/// Capacity and load of a service's engines, within this entry's subset (see
/// `Router`).
struct ServiceLoad {
  std::size_t usable_engines = 0;
  std::size_t total_engines = 0;
  /// Prefill speed of the usable engines together, tokens a second.
  double prefill_rate = 0;
  /// Prompt tokens that wait at the usable engines.
  TokenCount waiting_prefill;
  /// Free memory of the usable engines together. An engine of unknown memory
  /// counts as 1e9 tokens.
  TokenCount free_memory;
};

/// Settings of a router.
struct RouterSettings {
  InstanceId instance;
  /// Failure domain of this entry; not used for routing.
  FailureDomain failure_domain;
  /// Policy of model services. Services of kind `kPlain` always use
  /// `kLeastInFlight`.
  RoutingPolicyKind policy = RoutingPolicyKind::kCost;
  /// Makes baseline policies use the engine priorities of kCost; for
  /// measurements only.
  bool forces_length_priority = false;
  /// Limit of the engines of one service in this entry's subset; clamped to 1
  /// to `PrefixIndex::kMaxSlots`.
  std::size_t max_subset = 64;
};

/// Chooses engines for requests on behalf of one entry, the serving process
/// that receives them. The entry uses a subset of each service's engines.
/// Performs no I/O: callers pass in configuration, engine reports and progress
/// of attempts. Calls that name an unknown attempt or engine are ignored.
class Router {
 public:
  Router(RouterSettings settings, Clock& clock, Random& random);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Sets the services and engines. The state of engines that stay is kept,
  /// unless the kind of their service changes: then all state and attempts of
  /// the service are discarded.
  void ApplyConfig(const SiteConfig& config);

  /// Returns the engines of this entry's subset, whose reports and cache events
  /// the caller should poll.
  std::vector<EngineAddress> Subset() const;

  void OnReport(const EngineId& engine, const EngineReport& report);
  void OnReportFailed(const EngineId& engine);
  void OnCacheEvents(const EngineId& engine, const CacheEventBatch& batch);

  /// Chooses an engine, or a group of engines. Errors:
  ///  - kNotFound: the service does not exist;
  ///  - kRefused: prompt and maximum output, in equal shares, fit into no group
  ///    of usable engines, even if all were idle;
  ///  - kUnavailable: no engine is usable now, or all usable ones are excluded;
  ///  - kOverloaded: no single engine has enough free memory and a backlog
  ///    ahead of the request that is short enough, and either no group has
  ///    enough free memory (groups have no limit of the backlog) or the request
  ///    is too small for a group; try again after an attempt has ended;
  ///  - kDeadlineExceeded: none of the engines with capacity now is expected to
  ///    finish before the deadline or, if there are none, the chosen group is
  ///    not.
  Result<Route> Choose(const RouteRequest& request);

  /// Returns a cautious estimate for the usable engine that would finish first,
  /// without regard to the policy, groups, the deadline or capacity. The time
  /// to first token is multiplied by the upper bound of the learned prediction
  /// error. Errors: kNotFound and kUnavailable as above; kRefused if prompt and
  /// maximum output exceed the memory of all usable engines together.
  Result<RouteEstimate> Predict(const RouteRequest& request) const;

  /// Records that the request's attempt was sent along `route`.
  void OnDispatched(const RouteRequest& request, const Route& route);
  /// Records that the engine accepted the attempt and found `cached` prompt
  /// tokens in its prefix cache.
  void OnAccepted(const AttemptId& attempt, TokenCount cached);
  /// Records that `tokens` of the answer arrived. The first call with any marks
  /// the first token; later ones have no effect.
  void OnProgress(const AttemptId& attempt, std::uint64_t tokens);
  void OnEnded(const AttemptId& attempt, AttemptResult result);

  /// Returns notes of the attempts dispatched since the last call, to be sent
  /// to the other entries. Of each service only the newest `kMaxNotes` are
  /// kept.
  std::vector<DispatchNote> TakeDispatchNotes();
  /// Adds the attempts of another entry's notes to the engines' load, each
  /// until a report covers it. Lost or repeated notes do no harm.
  void OnDispatchNotes(const std::vector<DispatchNote>& notes);

  /// Limit of the notes kept for each service.
  static constexpr std::size_t kMaxNotes = 256;

  /// Returns zeros for an unknown service.
  ServiceLoad GetServiceLoad(const ServiceId& service) const;
  /// Returns whether `Choose` considers the engine now: it is in the subset,
  /// answers report polls and is not ejected.
  bool IsUsable(const EngineId& engine) const;
  /// Returns the size of the state in bytes, estimated from element counts.
  std::size_t MemoryBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTER_H_
