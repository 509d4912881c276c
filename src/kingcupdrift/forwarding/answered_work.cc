#include "kingcupdrift/forwarding/answered_work.h"

#include <algorithm>

namespace kingcupdrift {

void AnsweredWork::Remember(const WorkKey& key, MonotonicTime time) {
  const auto known = index_.find(key);
  if (known != index_.end()) {
    Answer& answer = *known->second;
    answer.time = std::max(answer.time, time);
    answers_.splice(answers_.begin(), answers_, known->second);
    return;
  }
  if (answers_.size() >= capacity_) {
    index_.erase(answers_.back().key);
    answers_.pop_back();
  }
  answers_.push_front({key, time});
  index_[key] = answers_.begin();
}

std::optional<MonotonicTime> AnsweredWork::FindLastAnswer(
    const WorkKey& key) const {
  const auto it = index_.find(key);
  if (it == index_.end()) {
    return std::nullopt;
  }
  return it->second->time;
}

}  // namespace kingcupdrift
