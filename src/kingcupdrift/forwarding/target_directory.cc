#include "kingcupdrift/forwarding/target_directory.h"

namespace kingcupdrift {

void TargetDirectory::Update(const TargetRecord& record) {
  targets_[record.address.id] = ListedTarget{record};
}

void TargetDirectory::Remove(const EngineId& id) {
  targets_.erase(id);
}

void TargetDirectory::ScheduleRemoval(const EngineId& id) {
  const auto it = targets_.find(id);
  if (it != targets_.end() && !it->second.is_removal_scheduled) {
    it->second.is_removal_scheduled = true;
    it->second.removal_time = clock_.Now() + kRemovalDelay;
  }
}

std::vector<const TargetRecord*> TargetDirectory::ListUsable(
    const ServiceId& service) {
  std::vector<const TargetRecord*> usable;
  for (const auto& [id, target] : targets_) {
    if (target.record.service == service && IsUsable(target)) {
      usable.push_back(&target.record);
    }
  }
  return usable;
}

const TargetRecord* TargetDirectory::Find(const EngineId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.record;
}

bool TargetDirectory::IsUsable(const EngineId& id) {
  const auto it = targets_.find(id);
  return it != targets_.end() && IsUsable(it->second);
}

bool TargetDirectory::IsUsable(const ListedTarget& target) const {
  const bool is_removed =
      target.is_removal_scheduled && clock_.Now() >= target.removal_time;
  return !is_removed && !target.record.is_draining;
}

}  // namespace kingcupdrift
