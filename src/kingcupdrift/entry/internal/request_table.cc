#include "kingcupdrift/entry/internal/request_table.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/entry/internal/request.h"

namespace kingcupdrift {

RequestTable::RequestTable(Clock& clock) : clock_(clock) {}

RequestTable::~RequestTable() = default;

void RequestTable::Add(std::unique_ptr<Request> request) {
  const RequestId id = request->id();
  requests_.emplace(id, std::move(request));
}

void RequestTable::Remove(const RequestId& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return;
  }
  ended_.push_back(std::move(it->second));
  requests_.erase(it);
  if (sweep_timer_ == nullptr) {
    sweep_timer_ = clock_.RunAfter(Duration::zero(), [this] {
      sweep_timer_.reset();
      ended_.clear();
    });
  }
}

Request* RequestTable::Find(const RequestId& id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second.get();
}

bool RequestTable::IsInUse(const AttemptId& attempt) const {
  return std::any_of(
      requests_.begin(), requests_.end(),
      [&attempt](const auto& it) { return it.second->IsServedBy(attempt); });
}

}  // namespace kingcupdrift
