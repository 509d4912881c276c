#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_UNREAD_ANSWERS_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_UNREAD_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "kingcupdrift/forwarding/internal/buffer_budget.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Whole answers whose callers have not taken all bytes yet. They count in the
/// budget until then.
class UnreadAnswers {
 public:
  /// `budget` outlives the answers.
  explicit UnreadAnswers(BufferBudget& budget);
  ~UnreadAnswers();
  UnreadAnswers(const UnreadAnswers&) = delete;
  UnreadAnswers& operator=(const UnreadAnswers&) = delete;

  /// Keeps the sink of an ended request until its bytes were sent; destroys it
  /// at once if there are none.
  void Keep(const RequestId& request, std::unique_ptr<ForwardSink> sink);

  std::size_t size() const { return answers_.size(); }

 private:
  class Answer;

  BufferBudget& budget_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Answer>> answers_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_UNREAD_ANSWERS_H_
