#include "kingcupdrift/forwarding/cold_target_tracker.h"

#include <algorithm>

namespace kingcupdrift {

void ColdTargetTracker::SetListComplete() {
  if (!complete_since_) {
    complete_since_ = clock_.Now();
  }
}

bool ColdTargetTracker::IsNewProcess(const TargetRecord& record) const {
  const auto it = states_.find(record.address.id);
  if (it == states_.end()) {
    return true;
  }
  // As in `TargetDirectory`: without incarnations, a target that was removed
  // and written again is another process.
  return it->second.incarnation < record.address.incarnation ||
         (record.address.incarnation == Incarnation() &&
          it->second.removed_at.has_value());
}

void ColdTargetTracker::UpdateRecord(const TargetRecord& record,
                                     bool is_restored) {
  const MonotonicTime now = clock_.Now();
  if (IsNewProcess(record)) {
    ForgetRemoved();
    State& state = states_[record.address.id];
    state = {record.service, record.address.incarnation};
    if (record.cold_left || complete_since_) {
      state.record = Statement{now, record.cold_left};
    }
    return;
  }
  State& state = states_[record.address.id];
  if (record.address.incarnation < state.incarnation) {
    return;
  }
  state.service = record.service;
  state.removed_at.reset();
  if (record.cold_left && !is_restored) {
    state.record = Statement{now, record.cold_left};
  }
}

void ColdTargetTracker::UpdateFromAnswer(const EngineAddress& target,
                                         Duration left) {
  const auto it = states_.find(target.id);
  if (it != states_.end() && it->second.incarnation == target.incarnation &&
      left >= Duration::zero()) {
    it->second.answer = Statement{clock_.Now(), left};
  }
}

void ColdTargetTracker::Remove(const EngineId& id) {
  const auto it = states_.find(id);
  if (it != states_.end()) {
    it->second.removed_at = clock_.Now();
  }
}

void ColdTargetTracker::ForgetRemoved() {
  std::erase_if(states_, [this](const auto& it) {
    return it.second.removed_at && clock_.Now() - *it.second.removed_at >
                                       TargetDirectory::kRemovalMemory;
  });
}

const ColdLimit* ColdTargetTracker::FindLimit(const EngineId& id) const {
  const auto state = states_.find(id);
  if (state == states_.end()) {
    return nullptr;
  }
  const auto limit = limits_.find(state->second.service);
  return limit == limits_.end() ? nullptr : &limit->second;
}

Duration ColdTargetTracker::GetColdLeft(const EngineId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? Duration::zero() : GetColdLeft(it->second);
}

Duration ColdTargetTracker::GetColdLeft(const State& state) const {
  const auto limit = limits_.find(state.service);
  if (limit == limits_.end()) {
    return Duration::zero();
  }
  const Duration cold_time = limit->second.cold_time;
  Duration longest{0};
  for (const auto& it : {state.record, state.answer}) {
    if (it) {
      const Duration stated = std::min(it->left.value_or(cold_time),
                                       kMaxColdTimeFactor * cold_time);
      longest = std::max(longest, it->received_at + stated - clock_.Now());
    }
  }
  return longest;
}

std::size_t ColdTargetTracker::CountCold() const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [this](const auto& it) {
        return !it.second.removed_at &&
               GetColdLeft(it.second) > Duration::zero();
      }));
}

}  // namespace kingcupdrift
