#ifndef KINGCUPDRIFT_FORWARDING_GATEWAY_H_
#define KINGCUPDRIFT_FORWARDING_GATEWAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/forwarder.h"
#include "kingcupdrift/forwarding/peer_state_exchange.h"
#include "kingcupdrift/forwarding/state_decoder.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct GatewaySettings {
  EntryRecord own;
  RetryBudgetSettings budget;
};

/// Outlive the gateway.
struct GatewayDependencies {
  Clock& clock;
  Random& random;
  PlatformStore& store;
  PeerLink& peers;
  TargetClient& targets;
  const StateDecoder& decoder;
  DecisionLog& log;
};

/// One entry that passes requests on unread: follows the platform's store,
/// keeps in touch with the other entries, and forwards.
class Gateway {
 public:
  virtual ~Gateway() = default;

  static std::unique_ptr<Gateway> Create(const GatewaySettings& settings,
                                         const GatewayDependencies& deps);

  virtual void Start() = 0;
  virtual void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) = 0;

  /// It knows a configuration and the targets, and is not leaving.
  virtual bool IsReady() const = 0;
  /// Where callers may connect; may be empty while this entry is leaving.
  virtual std::vector<Endpoint> ListCallerEndpoints() const = 0;
  /// Called with the operators' limits whenever they change.
  virtual void SetLimitsListener(
      std::function<void(const CallerLimits&)> listener) = 0;

  /// Begins a planned stop: callers are sent elsewhere; requests that still
  /// come are served.
  /// It ends within `limit`.
  virtual void StartDraining(Duration limit) = 0;
  /// All requests have ended: refuses what still comes, and takes this entry
  /// off the others' list.
  virtual void Deregister() = 0;
  virtual bool IsDraining() const = 0;
  virtual std::size_t CountRequestsInProgress() const = 0;
  virtual std::string GetMetricsText() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_GATEWAY_H_
