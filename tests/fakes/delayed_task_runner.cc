#include "tests/fakes/delayed_task_runner.h"

#include <utility>

namespace kingcupdrift::fakes {

void DelayedTaskRunner::Post(Duration delay, std::function<void()> call) {
  const std::uint64_t id = next_id_++;
  timers_[id] = clock_.RunAfter(delay, [this, id, call = std::move(call)] {
    // The call may destroy this object, so it comes last.
    const auto timer = timers_.extract(id);
    call();
  });
}

}  // namespace kingcupdrift::fakes
