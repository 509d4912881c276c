#include "kingcupdrift/base/deferred_task_runner.h"

#include <utility>

namespace kingcupdrift {

void DeferredTaskRunner::Run(std::function<void()> call) {
  const std::uint64_t id = next_id_++;
  auto run = [this, id, call = std::move(call)] {
    // Copies `call` first: it may destroy this object, whose timer owns this
    // lambda.
    const std::function<void()> kept_call = call;
    const std::unique_ptr<Timer> timer = std::move(pending_[id]);
    pending_.erase(id);
    kept_call();
  };
  pending_[id] = clock_.RunAfter(Duration::zero(), std::move(run));
}

}  // namespace kingcupdrift
