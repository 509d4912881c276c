#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_CONTEXT_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_CONTEXT_H_

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/engines/engines.h"
#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/idempotency/idempotency.h"
#include "kingcupdrift/membership/membership.h"
#include "kingcupdrift/routing/routing.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

class Dispatcher;
class RequestTable;
class ServicePolicies;
class ServiceLoadBalancer;

/// The components of an entry that its requests use. All outlive the requests.
struct EntryContext {
  const EntrySettings& settings;
  Clock& clock;
  Random& random;
  EngineClient& engines;
  ServiceClient& services;
  EventRing& events;
  Metrics& metrics;
  Membership& membership;
  ConfigFollower& config;
  Router& router;
  AdmissionController& admission;
  /// Durable intents and results of calls with an idempotency key.
  Journal& journal;
  GroupReserver& reserver;
  Dispatcher& dispatcher;
  RequestTable& requests;
  /// Retry budgets and answer times (for hedging) of the services.
  ServicePolicies& policies;
  /// Chooses engines of plain services.
  ServiceLoadBalancer& load_balancer;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_CONTEXT_H_
