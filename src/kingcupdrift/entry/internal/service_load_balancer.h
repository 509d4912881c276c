#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_LOAD_BALANCER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_LOAD_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// Chooses among the engines of plain services: of two random ones, the one
/// with fewer calls in flight. Engines ejected after repeated faults are left
/// out.
class ServiceLoadBalancer {
 public:
  ServiceLoadBalancer(const Clock& clock, Random& random);

  void ApplyConfig(const SiteConfig& config);

  /// A usable engine that is not in `excluded`; nullopt if there is none.
  std::optional<EngineAddress> Choose(const ServiceId& service,
                                      const std::vector<EngineId>& excluded);
  /// A call was sent to the engine. Each needs one OnEnded.
  void OnSent(const EngineId& engine);
  /// The call ended. For outlier ejection every end with a false `is_fault`
  /// counts as a success, also that of a call which this entry stopped.
  void OnEnded(const ServiceId& service, const EngineId& engine, bool is_fault);

 private:
  struct Pool {
    std::vector<EngineAddress> engines;
    std::unique_ptr<OutlierEjector> ejector;
  };

  const Clock& clock_;
  Random& random_;
  std::map<ServiceId, Pool> pools_;
  std::map<EngineId, std::uint32_t> in_flight_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_SERVICE_LOAD_BALANCER_H_
