#include "tests/fakes/delayed_task_runner.h"

#include <utility>

namespace kingcupdrift::fakes {

void DelayedTaskRunner::Post(Duration delay, std::function<void()> task) {
  const std::uint64_t id = next_id_++;
  timers_[id] = clock_.RunAfter(delay, [this, id, task = std::move(task)] {
    // The task may destroy this object, so it runs last.
    const auto timer = timers_.extract(id);
    task();
  });
}

}  // namespace kingcupdrift::fakes
