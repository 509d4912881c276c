#include "kingcupdrift/routing/internal/service_pool.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupdrift {

ServicePool::ServicePool(ServiceConfig config,
                         const RouterSettings& settings,
                         const Clock& clock,
                         Random& random)
    : config_(std::move(config)),
      policy_(MakeRoutingPolicy(config_.kind == ServiceKind::kPlain
                                    ? RoutingPolicyKind::kLeastInFlight
                                    : settings.policy)),
      uses_length_priority_(settings.forces_length_priority ||
                            policy_->UsesLengthPriority()),
      clock_(clock),
      random_(random),
      ejector_(clock, config_.max_ejected_share) {}

ServicePool::~ServicePool() = default;

void ServicePool::SetConfig(const ServiceConfig& config) {
  config_ = config;
  ejector_.SetMaxShare(config.max_ejected_share);
}

void ServicePool::SetEngines(const std::vector<const EngineConfig*>& subset) {
  std::set<EngineId> ids;
  for (const EngineConfig* engine : subset) {
    ids.insert(engine->id);
  }
  // An engine keeps its slot while it is in the subset. Freed slots are reused.
  for (std::size_t slot = 0; slot < engines_.size(); ++slot) {
    if (engines_[slot] && !ids.contains(engines_[slot]->config().id)) {
      RemoveEngine(slot);
    }
  }
  for (const EngineConfig* engine : subset) {
    AddEngine(*engine);
  }
  ejector_.SetEngines(std::move(ids));
}

void ServicePool::RemoveEngine(std::size_t slot) {
  slots_.erase(engines_[slot]->config().id);
  engines_[slot].reset();
  prefixes_.Clear(slot);
  std::erase_if(attempts_,
                [slot](const auto& item) { return item.second->slot == slot; });
  for (const auto& [id, attempt] : attempts_) {
    std::erase_if(attempt->memory, [slot](const MemoryShare& share) {
      return share.slot == slot;
    });
  }
}

void ServicePool::AddEngine(const EngineConfig& config) {
  if (const auto it = slots_.find(config.id); it != slots_.end()) {
    engines_[it->second]->SetConfig(config);
    return;
  }
  const auto free = std::find(engines_.begin(), engines_.end(), nullptr);
  const auto slot = static_cast<std::size_t>(free - engines_.begin());
  if (free == engines_.end()) {
    engines_.emplace_back();
  }
  engines_[slot] = std::make_unique<EngineState>(config);
  slots_.emplace(config.id, slot);
}

void ServicePool::AppendEngines(std::vector<EngineAddress>& out) const {
  for (std::size_t slot = 0; slot < engines_.size(); ++slot) {
    if (engines_[slot]) {
      out.push_back(Address(slot));
    }
  }
}

EngineAddress ServicePool::Address(std::size_t slot) const {
  const EngineConfig& config = engines_[slot]->config();
  return {config.id, config.endpoint};
}

EngineState* ServicePool::FindEngine(const EngineId& engine) const {
  const auto it = slots_.find(engine);
  return it == slots_.end() ? nullptr : engines_[it->second].get();
}

bool ServicePool::OnReport(const EngineId& engine, const EngineReport& report) {
  EngineState* state = FindEngine(engine);
  if (state != nullptr) {
    state->OnReport(clock_.Now(), report);
  }
  return state != nullptr;
}

bool ServicePool::OnReportFailed(const EngineId& engine) {
  EngineState* state = FindEngine(engine);
  if (state != nullptr) {
    state->OnReportFailed();
  }
  return state != nullptr;
}

bool ServicePool::OnCacheEvents(const EngineId& engine,
                                const CacheEventBatch& batch) {
  const auto it = slots_.find(engine);
  if (it == slots_.end()) {
    return false;
  }
  prefixes_.Apply(it->second, batch);
  return true;
}

bool ServicePool::IsSlotUsable(std::size_t slot) const {
  const EngineState* engine = engines_[slot].get();
  return engine != nullptr && engine->IsAnswering() &&
         !(ejector_.HasEjected() && ejector_.IsEjected(engine->config().id));
}

bool ServicePool::IsUsable(const EngineId& engine) const {
  const auto it = slots_.find(engine);
  return it != slots_.end() && IsSlotUsable(it->second);
}

ServicePool::Slots ServicePool::UsableSlots(const RouteRequest& request) const {
  Slots usable;
  usable.reserve(engines_.size());
  for (std::size_t slot = 0; slot < engines_.size(); ++slot) {
    if (!IsSlotUsable(slot)) {
      continue;
    }
    const EngineId& id = engines_[slot]->config().id;
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
      usable.push_back(slot);
    }
  }
  return usable;
}

ServiceLoad ServicePool::GetServiceLoad() const {
  ServiceLoad load;
  const MonotonicTime now = clock_.Now();
  double waiting = 0;
  double free = 0;
  for (std::size_t slot = 0; slot < engines_.size(); ++slot) {
    if (!engines_[slot]) {
      continue;
    }
    ++load.total_engines;
    if (!IsSlotUsable(slot)) {
      continue;
    }
    ++load.usable_engines;
    load.prefill_rate += engines_[slot]->PrefillRate();
    waiting += engines_[slot]->Backlog(now);
    free += engines_[slot]->FreeMemory();
  }
  load.waiting_prefill = TokenCount(static_cast<std::int64_t>(waiting));
  load.free_memory = TokenCount(static_cast<std::int64_t>(free));
  return load;
}

double ServicePool::MeanPrefillRate() const {
  double sum = 0;
  double n = 0;
  for (const auto& engine : engines_) {
    if (engine && engine->KnowsPrefillRate()) {
      sum += engine->PrefillRate();
      n += 1;
    }
  }
  return n > 0 ? sum / n : EngineState::kDefaultPrefillRate;
}

std::size_t ServicePool::MemoryBytes() const {
  constexpr std::size_t kBytesPerEngine = sizeof(EngineState) + 256;
  std::size_t bytes = sizeof(*this) + prefixes_.MemoryBytes();
  bytes += engines_.size() * kBytesPerEngine;
  for (const auto& [id, attempt] : attempts_) {
    bytes += sizeof(LocalAttempt) + sizeof(AttemptId) +
             attempt->block_digests.size() * sizeof(std::uint64_t);
  }
  return bytes;
}

}  // namespace kingcupdrift
