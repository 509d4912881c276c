#ifndef KINGCUPDRIFT_FORWARDING_ANSWERED_WORK_H_
#define KINGCUPDRIFT_FORWARDING_ANSWERED_WORK_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Times of the last answers to work of one kind. Remembers the `capacity` keys
/// that were answered last.
class AnsweredWork {
 public:
  explicit AnsweredWork(std::size_t capacity) : capacity_(capacity) {}

  void Remember(const WorkKey& key, MonotonicTime time);
  std::optional<MonotonicTime> FindLastAnswer(const WorkKey& key) const;

 private:
  struct Answer {
    WorkKey key;
    MonotonicTime time;
  };

  std::size_t capacity_;
  // Most recently answered first.
  std::list<Answer> answers_;
  std::unordered_map<WorkKey, std::list<Answer>::iterator> index_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_ANSWERED_WORK_H_
