#include "kingcupdrift/membership/member_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupdrift {
namespace {

int StatePrecedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 3;
}

}  // namespace

bool Supersedes(const MemberRecord& incoming, const MemberRecord& known) {
  if (incoming.incarnation != known.incarnation) {
    return incoming.incarnation > known.incarnation;
  }
  return StatePrecedence(incoming.state) > StatePrecedence(known.state);
}

bool MemberTable::Merge(const MemberRecord& incoming) {
  const auto it = rows_.find(incoming.id);
  if (it == rows_.end()) {
    const bool is_possibly_alive = incoming.state != MemberState::kDead;
    if (!is_possibly_alive || rows_.size() >= kMaxMembers) {
      return false;
    }
    rows_.emplace(incoming.id, Row{incoming, clock_.Now()});
    return true;
  }
  Row& row = it->second;
  if (!Supersedes(incoming, row.record)) {
    const bool is_same = incoming.incarnation == row.record.incarnation;
    if (is_same && incoming.generation > row.record.generation) {
      row.record.generation = incoming.generation;
    }
    return false;
  }
  row = Row{incoming, clock_.Now()};
  return true;
}

bool MemberTable::SetState(const InstanceId& id, MemberState state) {
  const auto it = rows_.find(id);
  if (it == rows_.end()) {
    return false;
  }
  if (it->second.record.state != state) {
    it->second.record.state = state;
    it->second.changed_at = clock_.Now();
    it->second.times_sent = 0;
  }
  return true;
}

void MemberTable::DropDeadOlderThan(Duration age) {
  const MonotonicTime limit = clock_.Now() - age;
  std::erase_if(rows_, [limit](const auto& it) {
    const Row& row = it.second;
    return row.record.state == MemberState::kDead && row.changed_at < limit;
  });
}

const MemberRecord* MemberTable::Find(const InstanceId& id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : &it->second.record;
}

std::vector<InstanceId> MemberTable::ListByState(MemberState state) const {
  std::vector<InstanceId> ids;
  for (const auto& [id, row] : rows_) {
    if (row.record.state == state) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<InstanceId> MemberTable::ListNotDead() const {
  std::vector<InstanceId> ids;
  for (const auto& [id, row] : rows_) {
    if (row.record.state != MemberState::kDead) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<MemberRecord> MemberTable::SelectForGossip(std::size_t limit) {
  std::vector<Row*> order;
  order.reserve(rows_.size());
  for (auto& [id, row] : rows_) {
    order.push_back(&row);
  }
  std::stable_sort(order.begin(), order.end(), [](const Row* a, const Row* b) {
    return a->times_sent < b->times_sent;
  });
  order.resize(std::min(limit, order.size()));
  std::vector<MemberRecord> records;
  records.reserve(order.size());
  for (Row* row : order) {
    ++row->times_sent;
    records.push_back(row->record);
  }
  return records;
}

}  // namespace kingcupdrift
