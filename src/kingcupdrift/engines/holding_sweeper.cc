#include "kingcupdrift/engines/holding_sweeper.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

HoldingSweeper::HoldingSweeper(Clock& clock,
                               EngineClient& engines,
                               SweepView& view,
                               InstanceId self,
                               SweeperOptions options)
    : clock_(clock),
      engines_(engines),
      view_(view),
      self_(std::move(self)),
      options_(options),
      lifetime_token_(std::make_shared<bool>(true)) {}

HoldingSweeper::~HoldingSweeper() = default;

void HoldingSweeper::SetEngines(std::vector<EngineAddress> engines) {
  addresses_ = std::move(engines);
}

void HoldingSweeper::Start() {
  Sweep();
}

bool HoldingSweeper::IsResponsibleFor(const EngineId& engine) const {
  const auto sweepers = SelectRendezvousMembers(
      engine.value(), view_.LiveInstances(),
      static_cast<std::size_t>(options_.sweepers_per_engine));
  return std::find(sweepers.begin(), sweepers.end(), self_) != sweepers.end();
}

void HoldingSweeper::Sweep() {
  const std::weak_ptr<bool> guard = lifetime_token_;
  for (const EngineAddress& engine : addresses_) {
    if (!IsResponsibleFor(engine.id)) {
      continue;
    }
    ++counters_.lists;
    engines_.ListHoldings(
        engine, [this, guard,
                 engine](const Result<std::vector<EngineHolding>>& holdings) {
          if (guard.expired()) {
            return;
          }
          if (holdings) {
            FreeStaleHoldings(engine, *holdings);
          } else {
            ++counters_.failed_lists;
          }
        });
  }
  timer_ = clock_.RunAfter(options_.interval, [this] { Sweep(); });
}

void HoldingSweeper::FreeStaleHoldings(
    const EngineAddress& engine,
    const std::vector<EngineHolding>& holdings) {
  TrackAbsentOwners(holdings);
  for (const EngineHolding& holding : holdings) {
    if (IsExpired(holding)) {
      ++counters_.released_expired;
      Free(engine, holding);
    } else if (IsOwnerDead(holding) && !view_.IsInUse(holding.attempt)) {
      ++counters_.released_dead_owner;
      Free(engine, holding);
    }
  }
}

void HoldingSweeper::TrackAbsentOwners(
    const std::vector<EngineHolding>& holdings) {
  const std::vector<InstanceId> live = view_.LiveInstances();
  const auto is_live = [&live](const InstanceId& owner) {
    return std::find(live.begin(), live.end(), owner) != live.end();
  };
  std::erase_if(absent_since_,
                [&](const auto& item) { return is_live(item.first); });
  for (const EngineHolding& holding : holdings) {
    if (!is_live(holding.owner)) {
      absent_since_.emplace(holding.owner, clock_.Now());
    }
  }
}

bool HoldingSweeper::IsExpired(const EngineHolding& holding) const {
  return holding.time_left < -options_.expiry_margin;
}

bool HoldingSweeper::IsOwnerDead(const EngineHolding& holding) const {
  const auto it = absent_since_.find(holding.owner);
  if (it == absent_since_.end()) {
    return false;
  }
  const Duration grace = holding.kind == HoldingKind::kStream
                             ? options_.dead_owner_stream_grace
                             : options_.dead_owner_grace;
  return clock_.Now() - it->second >= grace;
}

void HoldingSweeper::Free(const EngineAddress& engine,
                          const EngineHolding& holding) {
  const auto ignore = [](const Result<void>&) {
    // If the call was lost, the next sweep repeats it.
  };
  if (holding.kind == HoldingKind::kReservation) {
    engines_.Release(engine, ReservationId(holding.id), ignore);
  } else {
    engines_.Cancel(engine, AttemptId(holding.id), ignore);
  }
}

}  // namespace kingcupdrift
