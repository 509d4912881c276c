#ifndef TESTS_FAKES_DELAYED_TASK_RUNNER_H_
#define TESTS_FAKES_DELAYED_TASK_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Runs calls after a delay. Destroying it drops those that wait.
class DelayedTaskRunner {
 public:
  explicit DelayedTaskRunner(Clock& clock) : clock_(clock) {}

  void Post(Duration delay, std::function<void()> call);
  std::size_t size() const { return timers_.size(); }

 private:
  Clock& clock_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_DELAYED_TASK_RUNNER_H_
