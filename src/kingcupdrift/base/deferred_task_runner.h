#ifndef KINGCUPDRIFT_BASE_DEFERRED_TASK_RUNNER_H_
#define KINGCUPDRIFT_BASE_DEFERRED_TASK_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "kingcupdrift/base/clock.h"

namespace kingcupdrift {

/// Runs functions in a later iteration of the event loop, in order. Destroying
/// the runner drops those that have not run.
class DeferredTaskRunner {
 public:
  explicit DeferredTaskRunner(Clock& clock) : clock_(clock) {}

  void Run(std::function<void()> call);

 private:
  Clock& clock_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> pending_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_DEFERRED_TASK_RUNNER_H_
