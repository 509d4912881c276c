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

struct PlacementController::EnginePlacement {
  EngineAddress engine;
  PlacementOrder desired;
  /// The last order of this entry that the engine accepted.
  std::optional<PlacementOrder> accepted;
  MonotonicTime accepted_at{};
  MonotonicTime retry_after_failure_at{};
  int failures_in_a_row = 0;
  bool is_order_in_flight = false;
};

PlacementController::PlacementController(Clock& clock,
                                         EngineClient& engines,
                                         LeaseKeeper& lease,
                                         PlacementOptions options)
    : clock_(clock),
      engines_(engines),
      lease_(lease),
      options_(options),
      lifetime_token_(std::make_shared<bool>(true)) {}

PlacementController::~PlacementController() = default;

void PlacementController::SetConfig(const SiteConfig& config) {
  std::map<EngineId, EnginePlacement> targets;
  for (const auto& [id, engine] : config.engines) {
    const auto service = config.services.find(engine.service);
    const bool is_model = service != config.services.end() &&
                          service->second.kind == ServiceKind::kModel;
    if (!is_model) {
      continue;
    }
    EnginePlacement& target = targets[id];
    const auto known = placements_.find(id);
    if (known != placements_.end()) {
      target = std::move(known->second);
    }
    target.engine = EngineAddress{id, engine.endpoint};
    target.desired = DesiredOrder(service->second);
  }
  placements_ = std::move(targets);
}

void PlacementController::Start() {
  RunPass();
}

void PlacementController::RunPass() {
  for (auto& [id, target] : placements_) {
    if (in_flight_ >= options_.max_orders_in_flight) {
      break;
    }
    if (!target.is_order_in_flight && NeedsOrder(target)) {
      Send(id, target);
    }
  }
  timer_ = clock_.RunAfter(options_.pass_interval, [this] { RunPass(); });
}

bool PlacementController::IsReconciled(const EnginePlacement& target) const {
  return target.accepted &&
         target.accepted->fencing_number == lease_.fencing_number() &&
         IsSameState(*target.accepted, target.desired);
}

bool PlacementController::NeedsOrder(const EnginePlacement& target) const {
  const bool is_stale =
      clock_.Now() - target.accepted_at >= options_.resync_interval;
  const bool is_backoff_over = clock_.Now() >= target.retry_after_failure_at;
  return is_backoff_over && (is_stale || !IsReconciled(target));
}

void PlacementController::Send(const EngineId& id, EnginePlacement& target) {
  // Checked for each order: the process may have been paused since the last
  // one.
  if (!lease_.IsHeld() || lease_.fencing_number() == refused_fence_) {
    ++counters_.withheld;
    return;
  }
  PlacementOrder order = target.desired;
  order.fencing_number = lease_.fencing_number();
  target.is_order_in_flight = true;
  ++in_flight_;
  ++counters_.orders;
  const std::weak_ptr<bool> guard = lifetime_token_;
  engines_.SendPlacementOrder(
      target.engine, order,
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
    ++counters_.accepted;
  } else if (answer.error().code == ErrorCode::kFenced) {
    // The engine has seen a newer fencing number: another entry has taken the
    // lease since, even if it still counts as held here.
    refused_fence_ = order.fencing_number;
    ++counters_.fenced;
  } else {
    ++counters_.failed;
  }
  const auto it = placements_.find(id);
  if (it == placements_.end()) {
    return;
  }
  EnginePlacement& target = it->second;
  target.is_order_in_flight = false;
  if (answer) {
    target.accepted = order;
    target.accepted_at = clock_.Now();
    target.failures_in_a_row = 0;
  } else {
    // Exponential backoff keeps engines that do not answer from using up
    // `max_orders_in_flight`.
    const int doublings = std::min(target.failures_in_a_row++, kMaxDoublings);
    target.retry_after_failure_at =
        clock_.Now() + std::min(options_.resync_interval,
                                options_.pass_interval * (1 << doublings));
  }
}

std::size_t PlacementController::reconciled_engines() const {
  std::size_t n = 0;
  for (const auto& [id, target] : placements_) {
    n += IsReconciled(target) ? 1 : 0;
  }
  return n;
}

}  // namespace kingcupdrift
