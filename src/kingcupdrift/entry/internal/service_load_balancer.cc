#include "kingcupdrift/entry/internal/service_load_balancer.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupdrift {

ServiceLoadBalancer::ServiceLoadBalancer(const Clock& clock, Random& random)
    : clock_(clock), random_(random) {}

void ServiceLoadBalancer::ApplyConfig(const SiteConfig& config) {
  std::erase_if(pools_, [&config](const auto& it) {
    return !config.services.contains(it.first);
  });
  for (const auto& [id, service] : config.services) {
    if (service.kind != ServiceKind::kPlain) {
      continue;
    }
    Pool& pool = pools_[id];
    if (pool.ejector == nullptr) {
      pool.ejector =
          std::make_unique<OutlierEjector>(clock_, service.max_ejected_share);
    }
    pool.ejector->SetMaxShare(service.max_ejected_share);
    pool.engines.clear();
    std::set<EngineId> ids;
    for (const auto& [engine_id, engine] : config.engines) {
      if (engine.service == id) {
        pool.engines.push_back({engine_id, engine.endpoint});
        ids.insert(engine_id);
      }
    }
    pool.ejector->SetEngines(std::move(ids));
  }
}

std::optional<EngineAddress> ServiceLoadBalancer::Choose(
    const ServiceId& service,
    const std::vector<EngineId>& excluded) {
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) {
    return std::nullopt;
  }
  std::vector<const EngineAddress*> usable;
  for (const EngineAddress& it : pool->second.engines) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), it.id) != excluded.end();
    if (!is_excluded && !pool->second.ejector->IsEjected(it.id)) {
      usable.push_back(&it);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const EngineAddress* first = usable[random_.NextBelow(usable.size())];
  const EngineAddress* second = usable[random_.NextBelow(usable.size())];
  return in_flight_[second->id] < in_flight_[first->id] ? *second : *first;
}

void ServiceLoadBalancer::OnSent(const EngineId& engine) {
  ++in_flight_[engine];
}

void ServiceLoadBalancer::OnEnded(const ServiceId& service,
                                  const EngineId& engine,
                                  bool is_fault) {
  const auto count = in_flight_.find(engine);
  if (count != in_flight_.end() && --count->second == 0) {
    in_flight_.erase(count);
  }
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) {
    return;
  }
  if (is_fault) {
    pool->second.ejector->OnFault(engine);
  } else {
    pool->second.ejector->OnSuccess(engine);
  }
}

}  // namespace kingcupdrift
