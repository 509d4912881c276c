#include "kingcupdrift/forwarding/target_directory.h"

#include <utility>

namespace kingcupdrift {

bool TargetDirectory::IsOutdated(const TargetRecord& record) const {
  const auto it = targets_.find(record.address.id);
  return it != targets_.end() && record.address.incarnation != Incarnation() &&
         record.address.incarnation < it->second.record.address.incarnation;
}

void TargetDirectory::RememberDraining(const TargetRecord& record) {
  const EngineAddress& address = record.address;
  const auto it = leaving_.find(address.id);
  const bool is_marked =
      it != leaving_.end() && it->second.incarnation >= address.incarnation;
  if (record.is_draining && !is_marked) {
    leaving_[address.id] = {address.incarnation, true, clock_.Now()};
  }
}

void TargetDirectory::Update(const TargetRecord& record) {
  if (IsOutdated(record)) {
    return;
  }
  const EngineId& id = record.address.id;
  const bool was_removed = removed_.erase(id) > 0;
  const auto mark = leaving_.find(id);
  if (mark != leaving_.end() && !record.is_draining &&
      record.address.incarnation == Incarnation() &&
      (mark->second.is_from_record || was_removed)) {
    leaving_.erase(mark);
  }
  targets_[id] = ListedTarget{record};
  RememberDraining(record);
}

void TargetDirectory::Restore(const TargetRecord& record) {
  if (IsOutdated(record)) {
    return;
  }
  const EngineId& id = record.address.id;
  ListedTarget target{record};
  const auto removed = removed_.find(id);
  if (removed != removed_.end() &&
      record.address.incarnation <= removed->second.incarnation &&
      clock_.Now() - removed->second.removed_at < kRemovalMemory) {
    target.usable_from = clock_.Now() + kRevivalDelay;
  }
  targets_[id] = std::move(target);
  RememberDraining(record);
}

bool TargetDirectory::MarkLeaving(const LeavingEngine& engine) {
  const auto it = leaving_.find(engine.engine);
  if (it != leaving_.end() && it->second.incarnation >= engine.incarnation) {
    const bool is_same = it->second.incarnation == engine.incarnation;
    return is_same && std::exchange(it->second.is_from_record, false);
  }
  ForgetOldMarks();
  leaving_[engine.engine] = {engine.incarnation, false, clock_.Now()};
  return true;
}

void TargetDirectory::ForgetOldMarks() {
  const MonotonicTime now = clock_.Now();
  std::erase_if(leaving_, [this, now](const auto& it) {
    return !targets_.contains(it.first) &&
           now - it.second.marked_at > kLeavingMemory;
  });
  std::erase_if(removed_, [now](const auto& it) {
    return now - it.second.removed_at > kRemovalMemory;
  });
}

std::vector<LeavingEngine> TargetDirectory::ListLeaving() const {
  std::vector<LeavingEngine> engines;
  for (const auto& [id, mark] : leaving_) {
    engines.push_back({id, mark.incarnation});
  }
  return engines;
}

void TargetDirectory::Remove(const EngineId& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  removed_[id] = {it->second.record.address.incarnation, clock_.Now()};
  targets_.erase(it);
  ForgetOldMarks();
}

void TargetDirectory::ScheduleRemoval(const EngineId& id) {
  const auto it = targets_.find(id);
  if (it != targets_.end() && !it->second.is_removal_scheduled) {
    it->second.is_removal_scheduled = true;
    it->second.removal_time = clock_.Now() + kRemovalDelay;
  }
}

bool TargetDirectory::SetEvacuated(const FailureDomain& domain,
                                   bool is_evacuated) {
  return is_evacuated ? evacuated_.insert(domain).second
                      : evacuated_.erase(domain) > 0;
}

std::vector<const TargetRecord*> TargetDirectory::ListUsable(
    const ServiceId& service) const {
  std::vector<const TargetRecord*> usable;
  for (const auto& [id, target] : targets_) {
    if (target.record.service == service && IsUsable(target)) {
      usable.push_back(&target.record);
    }
  }
  return usable;
}

std::vector<const TargetRecord*> TargetDirectory::ListUsable() const {
  std::vector<const TargetRecord*> usable;
  for (const auto& [id, target] : targets_) {
    if (IsUsable(target)) {
      usable.push_back(&target.record);
    }
  }
  return usable;
}

const TargetRecord* TargetDirectory::Find(const EngineId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.record;
}

bool TargetDirectory::IsUsable(const EngineId& id) const {
  const auto it = targets_.find(id);
  return it != targets_.end() && IsUsable(it->second);
}

bool TargetDirectory::IsEvacuated(const EngineId& id) const {
  const TargetRecord* const record = Find(id);
  return record != nullptr && evacuated_.contains(record->failure_domain);
}

bool TargetDirectory::IsLeaving(const EngineAddress& address) const {
  const auto it = leaving_.find(address.id);
  return it != leaving_.end() && it->second.incarnation == address.incarnation;
}

bool TargetDirectory::IsUsable(const ListedTarget& target) const {
  const MonotonicTime now = clock_.Now();
  const bool is_removed =
      target.is_removal_scheduled && now >= target.removal_time;
  return !is_removed && !target.record.is_draining &&
         now >= target.usable_from && !IsLeaving(target.record.address) &&
         !evacuated_.contains(target.record.failure_domain);
}

}  // namespace kingcupdrift
