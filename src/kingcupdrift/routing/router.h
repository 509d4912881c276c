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

/// How an attempt ended, as far as its engine is concerned.
enum class AttemptResult {
  kSuccess,
  /// The engine failed, broke the connection or went silent.
  kEngineFault,
  /// The engine declined for lack of room.
  kDeclined,
  /// Ended for another reason, such as a caller that went away.
  kCancelled,
};

/// What a service's engines can do, as this entry sees its subset.
struct ServiceLoad {
  std::size_t usable_engines = 0;
  std::size_t total_engines = 0;
  /// Prefill speed of the usable engines together, tokens a second.
  double prefill_rate = 0;
  /// Prompt tokens that wait at the usable engines.
  TokenCount waiting_prefill;
  /// Memory of the usable engines that is not taken.
  TokenCount free_memory;
};

/// Settings of a router.
struct RouterSettings {
  InstanceId instance;
  FailureDomain failure_domain;
  RoutingPolicyKind policy = RoutingPolicyKind::kCost;
  /// Gives baseline policies the engine priorities of kCost; measurements only.
  bool forces_length_priority = false;
  /// Engines of one service that this entry knows, at most.
  std::size_t max_subset = 64;
};

/// Chooses engines for requests. Does no I/O; all knowledge comes by the On...
/// calls. Attempts and engines that are unknown are ignored.
class Router {
 public:
  Router(RouterSettings settings, Clock& clock, Random& random);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Takes the services and engines; knowledge of engines that stay is kept.
  void ApplyConfig(const SiteConfig& config);

  /// Engines of this entry's subset: poll their reports and cache events.
  std::vector<EngineAddress> Subset() const;

  void OnReport(const EngineId& engine, const EngineReport& report);
  void OnReportFailed(const EngineId& engine);
  void OnCacheEvents(const EngineId& engine, const CacheEventBatch& batch);

  /// Chooses an engine, or a group of engines. Errors:
  ///  - kNotFound: no such service;
  ///  - kRefused: the prompt is larger than the whole subset's memory;
  ///  - kUnavailable: no engine is usable now;
  ///  - kOverloaded: no engine has room now; ask again when something ended;
  ///  - kDeadlineExceeded: no engine can finish before the deadline.
  Result<Route> Choose(const RouteRequest& request);

  /// The estimate that `Choose` would reach, without regard to the deadline or
  /// to room; errors kNotFound, kRefused and kUnavailable as above.
  Result<RouteEstimate> Predict(const RouteRequest& request) const;

  /// An attempt was sent along `route`.
  void OnDispatched(const RouteRequest& request, const Route& route);
  void OnAccepted(const AttemptId& attempt, TokenCount cached);
  /// `tokens` of the answer arrived; the first call marks the first token.
  void OnProgress(const AttemptId& attempt, std::uint64_t tokens);
  void OnEnded(const AttemptId& attempt, AttemptResult result);

  /// Notes of what was sent since the last call, for the other entries; at most
  /// `kMaxNotes`, the newest.
  std::vector<DispatchNote> TakeDispatchNotes();
  /// Takes another entry's notes. They count until a report covers them; lost
  /// or repeated ones do no harm.
  void OnDispatchNotes(const std::vector<DispatchNote>& notes);

  static constexpr std::size_t kMaxNotes = 256;

  ServiceLoad GetServiceLoad(const ServiceId& service) const;
  /// Whether the engine takes part in choices now.
  bool IsUsable(const EngineId& engine) const;
  /// Bytes of state, estimated from element counts.
  std::size_t MemoryBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ROUTER_H_
