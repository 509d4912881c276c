#include "kingcupdrift/engines/placement_controller.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr int kMaxDoublings = 8;

bool IsSameState(const PlacementOrder& a, const PlacementOrder& b) {
  return a.model == b.model && a.adapter == b.adapter &&
         a.version == b.version && a.role == b.role;
}

PlacementOrder DesiredOrder(const ServiceConfig& service) {
  PlacementOrder order;
  order.model = service.model;
  order.adapter = service.adapter;
  order.version = service.version;
  return order;
}

}  // namespace

struct PlacementController::Target {
  EngineAddress engine;
  PlacementOrder desired;
  /// The order that the engine took last, from this entry.
  std::optional<PlacementOrder> taken;
  MonotonicTime taken_at{};
  MonotonicTime not_before{};
  int failures_in_a_row = 0;
  bool is_asked = false;
};

PlacementController::PlacementController(Clock& clock,
                                         EngineClient& engines,
                                         LeaseKeeper& lease,
                                         PlacementLimits limits)
    : clock_(clock),
      engines_(engines),
      lease_(lease),
      limits_(limits),
      is_alive_(std::make_shared<bool>(true)) {}

PlacementController::~PlacementController() = default;

void PlacementController::SetConfig(const SiteConfig& config) {
  std::map<EngineId, Target> targets;
  for (const auto& [id, engine] : config.engines) {
    const auto service = config.services.find(engine.service);
    const bool is_model = service != config.services.end() &&
                          service->second.kind == ServiceKind::kModel;
    if (!is_model) {
      continue;
    }
    Target& target = targets[id];
    const auto known = targets_.find(id);
    if (known != targets_.end()) {
      target = std::move(known->second);
    }
    target.engine = EngineAddress{id, engine.endpoint};
    target.desired = DesiredOrder(service->second);
  }
  targets_ = std::move(targets);
}

void PlacementController::Start() {
  Pass();
}

void PlacementController::Pass() {
  for (auto& [id, target] : targets_) {
    if (in_flight_ >= limits_.max_orders_in_flight) {
      break;
    }
    if (!target.is_asked && IsWanting(target)) {
      Send(id, target);
    }
  }
  timer_ = clock_.RunAfter(limits_.pass_interval, [this] { Pass(); });
}

bool PlacementController::IsSettled(const Target& target) const {
  return target.taken && target.taken->fence == lease_.fence() &&
         IsSameState(*target.taken, target.desired);
}

bool PlacementController::IsWanting(const Target& target) const {
  const bool is_stale =
      clock_.Now() - target.taken_at >= limits_.reconcile_interval;
  const bool is_open = clock_.Now() >= target.not_before;
  return is_open && (is_stale || !IsSettled(target));
}

void PlacementController::Send(const EngineId& id, Target& target) {
  // Read at each order: the process may have been paused since the last one.
  if (!lease_.IsHeld() || lease_.fence() == refused_fence_) {
    ++counters_.held_back;
    return;
  }
  PlacementOrder order = target.desired;
  order.fence = lease_.fence();
  target.is_asked = true;
  ++in_flight_;
  ++counters_.orders;
  const std::weak_ptr<bool> guard = is_alive_;
  engines_.SendOrder(target.engine, order,
                     [this, guard, id, order](const Result<void>& answer) {
                       if (!guard.expired()) {
                         OnAnswer(id, order, answer);
                       }
                     });
}

void PlacementController::OnAnswer(const EngineId& id,
                                   const PlacementOrder& order,
                                   const Result<void>& answer) {
  --in_flight_;
  if (answer) {
    ++counters_.taken;
  } else if (answer.error().code == ErrorCode::kFenced) {
    // A newer holder is at work, whatever our own lease says.
    refused_fence_ = order.fence;
    ++counters_.fenced;
  } else {
    ++counters_.failed;
  }
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  Target& target = it->second;
  target.is_asked = false;
  if (answer) {
    target.taken = order;
    target.taken_at = clock_.Now();
    target.failures_in_a_row = 0;
  } else {
    // Keeps engines that do not answer from taking all the places in flight.
    const int doublings = std::min(target.failures_in_a_row++, kMaxDoublings);
    target.not_before =
        clock_.Now() + std::min(limits_.reconcile_interval,
                                limits_.pass_interval * (1 << doublings));
  }
}

std::size_t PlacementController::settled() const {
  std::size_t n = 0;
  for (const auto& [id, target] : targets_) {
    n += IsSettled(target) ? 1 : 0;
  }
  return n;
}

}  // namespace kingcupdrift
