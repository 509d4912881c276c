#include "kingcupdrift/routing/router.h"

#include <algorithm>
#include <map>
#include <utility>

#include "kingcupdrift/routing/internal/service_pool.h"
#include "kingcupdrift/routing/internal/subset.h"

namespace kingcupdrift {

class Router::Impl {
 public:
  Impl(RouterSettings settings, Clock& clock, Random& random)
      : settings_(std::move(settings)), clock_(clock), random_(random) {
    settings_.max_subset = std::clamp<std::size_t>(settings_.max_subset, 1,
                                                   PrefixIndex::kMaxSlots);
  }

  void ApplyConfig(const SiteConfig& config) {
    std::erase_if(pools_, [&](const auto& item) {
      return !config.services.contains(item.first);
    });
    std::map<ServiceId, std::vector<const EngineConfig*>> engines;
    for (const auto& [id, engine] : config.engines) {
      engines[engine.service].push_back(&engine);
    }
    for (const auto& [id, service] : config.services) {
      auto& pool = pools_[id];
      if (!pool || pool->config().kind != service.kind) {
        pool =
            std::make_unique<ServicePool>(service, settings_, clock_, random_);
      }
      pool->SetConfig(service);
      pool->SetEngines(
          ChooseSubset(engines[id], settings_.instance, settings_.max_subset));
    }
  }

  ServicePool* Find(const ServiceId& service) const {
    const auto it = pools_.find(service);
    return it == pools_.end() ? nullptr : it->second.get();
  }

  /// Calls `action` on the pools until one returns true.
  template <typename Action>
  void CallUntilTrue(Action action) const {
    for (const auto& [id, pool] : pools_) {
      if (action(*pool)) {
        return;
      }
    }
  }

  template <typename Action>
  void ForEachPool(Action action) const {
    for (const auto& [id, pool] : pools_) {
      action(*pool);
    }
  }

 private:
  RouterSettings settings_;
  Clock& clock_;
  Random& random_;
  std::map<ServiceId, std::unique_ptr<ServicePool>> pools_;
};

Router::Router(RouterSettings settings, Clock& clock, Random& random)
    : impl_(std::make_unique<Impl>(std::move(settings), clock, random)) {}

Router::~Router() = default;

void Router::ApplyConfig(const SiteConfig& config) {
  impl_->ApplyConfig(config);
}

std::vector<EngineAddress> Router::Subset() const {
  std::vector<EngineAddress> engines;
  impl_->ForEachPool([&](ServicePool& pool) { pool.AppendEngines(engines); });
  return engines;
}

void Router::OnReport(const EngineId& engine, const EngineReport& report) {
  impl_->CallUntilTrue(
      [&](ServicePool& pool) { return pool.OnReport(engine, report); });
}

void Router::OnReportFailed(const EngineId& engine) {
  impl_->CallUntilTrue(
      [&](ServicePool& pool) { return pool.OnReportFailed(engine); });
}

void Router::OnCacheEvents(const EngineId& engine,
                           const CacheEventBatch& batch) {
  impl_->CallUntilTrue(
      [&](ServicePool& pool) { return pool.OnCacheEvents(engine, batch); });
}

Result<Route> Router::Choose(const RouteRequest& request) {
  ServicePool* pool = impl_->Find(request.service);
  if (pool == nullptr) {
    return MakeError(ErrorCode::kNotFound, "unknown service");
  }
  return pool->Choose(request);
}

Result<RouteEstimate> Router::Predict(const RouteRequest& request) const {
  const ServicePool* pool = impl_->Find(request.service);
  if (pool == nullptr) {
    return MakeError(ErrorCode::kNotFound, "unknown service");
  }
  return pool->Predict(request);
}

void Router::OnDispatched(const RouteRequest& request, const Route& route) {
  ServicePool* pool = impl_->Find(request.service);
  if (pool != nullptr && !route.members.empty()) {
    pool->OnDispatched(request, route);
  }
}

void Router::OnAccepted(const AttemptId& attempt, TokenCount cached) {
  impl_->CallUntilTrue(
      [&](ServicePool& pool) { return pool.OnAccepted(attempt, cached); });
}

void Router::OnProgress(const AttemptId& attempt, std::uint64_t tokens) {
  if (tokens > 0) {
    impl_->CallUntilTrue(
        [&](ServicePool& pool) { return pool.OnProgress(attempt); });
  }
}

void Router::OnEnded(const AttemptId& attempt, AttemptResult result) {
  impl_->CallUntilTrue(
      [&](ServicePool& pool) { return pool.OnEnded(attempt, result); });
}

std::vector<DispatchNote> Router::TakeDispatchNotes() {
  std::vector<DispatchNote> notes;
  impl_->ForEachPool([&](ServicePool& pool) { pool.TakeNotes(notes); });
  return notes;
}

void Router::OnDispatchNotes(const std::vector<DispatchNote>& notes) {
  for (const DispatchNote& note : notes) {
    impl_->CallUntilTrue([&](ServicePool& pool) { return pool.OnNote(note); });
  }
}

ServiceLoad Router::GetServiceLoad(const ServiceId& service) const {
  const ServicePool* pool = impl_->Find(service);
  return pool == nullptr ? ServiceLoad{} : pool->GetServiceLoad();
}

bool Router::IsUsable(const EngineId& engine) const {
  bool is_usable = false;
  impl_->ForEachPool([&](ServicePool& pool) {
    is_usable = is_usable || pool.IsUsable(engine);
  });
  return is_usable;
}

std::size_t Router::MemoryBytes() const {
  std::size_t bytes = sizeof(Impl);
  impl_->ForEachPool([&](ServicePool& pool) { bytes += pool.MemoryBytes(); });
  return bytes;
}

}  // namespace kingcupdrift
