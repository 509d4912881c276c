#include "kingcupdrift/forwarding/target_directory.h"

namespace kingcupdrift {

void TargetDirectory::Update(const TargetRecord& record) {
  rows_[record.address.id] = Row{record};
}

void TargetDirectory::Remove(const EngineId& id) {
  rows_.erase(id);
}

void TargetDirectory::RemoveLater(const EngineId& id) {
  const auto it = rows_.find(id);
  if (it != rows_.end() && !it->second.is_lapsed) {
    it->second.is_lapsed = true;
    it->second.lapses_at = clock_.Now() + kLapseLimit;
  }
}

std::vector<const TargetRecord*> TargetDirectory::Usable(
    const ServiceId& service) {
  std::vector<const TargetRecord*> usable;
  for (const auto& [id, row] : rows_) {
    if (row.record.service == service && IsUsable(row)) {
      usable.push_back(&row.record);
    }
  }
  return usable;
}

const TargetRecord* TargetDirectory::Find(const EngineId& id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : &it->second.record;
}

bool TargetDirectory::IsUsable(const EngineId& id) {
  const auto it = rows_.find(id);
  return it != rows_.end() && IsUsable(it->second);
}

bool TargetDirectory::IsUsable(const Row& row) const {
  const bool is_gone = row.is_lapsed && clock_.Now() >= row.lapses_at;
  return !is_gone && !row.record.is_leaving;
}

}  // namespace kingcupdrift
