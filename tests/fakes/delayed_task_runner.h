#ifndef TESTS_FAKES_DELAYED_TASK_RUNNER_H_
#define TESTS_FAKES_DELAYED_TASK_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Runs tasks after a delay. Destroying the runner drops pending tasks.
class DelayedTaskRunner {
 public:
  explicit DelayedTaskRunner(Clock& clock) : clock_(clock) {}

  void Post(Duration delay, std::function<void()> task);
  /// Number of pending tasks.
  std::size_t size() const { return timers_.size(); }

 private:
  Clock& clock_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_DELAYED_TASK_RUNNER_H_
