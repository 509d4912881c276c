#ifndef KINGCUPDRIFT_FORWARDING_GATEWAY_H_
#define KINGCUPDRIFT_FORWARDING_GATEWAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/forwarder.h"
#include "kingcupdrift/forwarding/peer_state_exchange.h"
#include "kingcupdrift/forwarding/state_decoder.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct GatewaySettings {
  /// Record of this entry.
  EntryRecord own;
  RetryBudgetSettings budget;
  /// As in `ForwarderSettings`.
  std::optional<ColdBound> cold_bound = std::nullopt;
  /// Memory that this process may use; absent without a limit.
  std::optional<ByteCount> memory_limit = std::nullopt;
  /// As in `ForwarderSettings`.
  std::string event_version_field = {};
};

/// All of them outlive the gateway.
struct GatewayDependencies {
  Clock& clock;
  Random& random;
  PlatformStore& store;
  PeerLink& peers;
  TargetClient& targets;
  const StateDecoder& decoder;
  DecisionLog& log;
};

/// One entry, a serving process that forwards requests without reading their
/// bodies: watches the platform's store, exchanges state with the other
/// entries, and forwards.
class Gateway {
 public:
  virtual ~Gateway() = default;

  static std::unique_ptr<Gateway> Create(const GatewaySettings& settings,
                                         const GatewayDependencies& deps);

  virtual void Start() = 0;
  virtual void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) = 0;

  /// The entry has a configuration and a complete copy of the store, and is not
  /// draining.
  virtual bool IsReady() const = 0;
  /// Endpoints where callers may connect. May be empty while this entry is
  /// draining.
  virtual std::vector<Endpoint> ListCallerEndpoints() const = 0;
  /// `listener` is called with the operators' limits in use whenever a valid
  /// configuration comes from the store, also if the limits are the same or
  /// that configuration is ignored because it is not newer. It is not called on
  /// registration.
  virtual void SetLimitsListener(
      std::function<void(const CallerLimits&)> listener) = 0;

  /// Begins a planned stop: this entry is no longer offered to new callers.
  /// After `Forwarder::kStopNoticePeriod`, requests whose time limit ends later
  /// than `limit` from now are refused; other requests are still accepted.
  /// Nothing happens at `limit` by itself.
  virtual void StartDraining(Duration limit) = 0;
  /// Refuses all new requests, and removes this entry's record from the store
  /// and so from the other entries' lists. To be called once all requests have
  /// ended, or just before `EndRequests`.
  virtual void Deregister() = 0;
  /// Answers or ends all requests in progress, see `Forwarder::EndRequests`. To
  /// be called after `Deregister`.
  virtual void EndRequests() = 0;
  virtual bool IsDraining() const = 0;
  virtual std::size_t CountRequestsInProgress() const = 0;
  virtual HeldBytes GetHeldBytes() const = 0;
  virtual std::string GetMetricsText() const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_GATEWAY_H_
