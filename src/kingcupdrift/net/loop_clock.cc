#include "kingcupdrift/net/loop_clock.h"

#include <chrono>
#include <utility>

namespace kingcupdrift {

MonotonicTime LoopClock::Now() const {
  return loop_.Now();
}

WallTime LoopClock::WallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::unique_ptr<Timer> LoopClock::RunAfter(Duration delay,
                                           std::function<void()> callback) {
  return loop_.RunAfter(delay, std::move(callback));
}

}  // namespace kingcupdrift
