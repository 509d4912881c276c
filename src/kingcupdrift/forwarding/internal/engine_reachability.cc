#include "kingcupdrift/forwarding/internal/engine_reachability.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupdrift {

void EngineReachability::OnAnswer(MonotonicTime opened_at) {
  if (!first_failure_at_ || opened_at < *first_failure_at_) {
    return;
  }
  failed_.clear();
  first_failure_at_.reset();
  SetCutOff(false);
}

void EngineReachability::OnConnectFailure(const EngineId& engine) {
  const std::size_t listed = directory_.ListUsable().size();
  if (!first_failure_at_) {
    first_failure_at_ = clock_.Now();
  }
  if (failed_.size() < kMinFailedEngines) {
    failed_.insert(engine);
  }
  if (!is_cut_off_ && probes_in_progress_ == 0 &&
      failed_.size() >= std::min(listed, kMinFailedEngines)) {
    Probe();
  }
}

void EngineReachability::Probe() {
  std::vector<const TargetRecord*> engines = directory_.ListUsable();
  const std::size_t count = std::min(engines.size(), kProbedEngines);
  const MonotonicTime opened_at = clock_.Now();
  const std::weak_ptr<bool> alive = lifetime_token_;
  probes_in_progress_ += count;
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(engines[i], engines[i + random_.Next() % (engines.size() - i)]);
    targets_.Check(engines[i]->address, kProbeTimeout,
                   [this, alive, opened_at](const Result<void>& answer) {
                     if (!alive.expired()) {
                       HandleProbeResult(opened_at, answer);
                     }
                   });
  }
  if (is_cut_off_) {
    probe_timer_ = clock_.RunAfter(kProbeInterval, [this] { Probe(); });
  }
}

void EngineReachability::HandleProbeResult(MonotonicTime opened_at,
                                           const Result<void>& answer) {
  --probes_in_progress_;
  if (answer) {
    OnAnswer(opened_at);
  } else if (probes_in_progress_ == 0 && first_failure_at_) {
    SetCutOff(true);
  }
}

void EngineReachability::SetCutOff(bool is_cut_off) {
  if (std::exchange(is_cut_off_, is_cut_off) == is_cut_off) {
    return;
  }
  probe_timer_.reset();
  if (is_cut_off) {
    probe_timer_ = clock_.RunAfter(kProbeInterval, [this] { Probe(); });
  }
  log_.Add("forward", "engines")
      .Text("state", is_cut_off ? "unreachable" : "reachable");
  listener_();
}

}  // namespace kingcupdrift
