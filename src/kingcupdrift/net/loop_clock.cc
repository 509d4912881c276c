#include "kingcupdrift/net/loop_clock.h"

#include <chrono>
#include <utility>

#include "kingcupdrift/net/internal/libevent_handles.h"

namespace kingcupdrift {
namespace {

class LoopTimer : public Timer {
 public:
  LoopTimer(event_base* base, Duration delay, std::function<void()> callback)
      : callback_(std::move(callback)),
        event_(event_new(base, -1, 0, &Fire, this)) {
    const timeval timeout = ToTimeval(delay);
    event_add(event_.get(), &timeout);
  }

 private:
  static void Fire(evutil_socket_t, short, void* arg) {
    // The callback may destroy the timer.
    const auto callback = std::move(static_cast<LoopTimer*>(arg)->callback_);
    callback();
  }

  std::function<void()> callback_;
  EventHandle event_;
};

}  // namespace

MonotonicTime LoopClock::Now() const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return MonotonicTime(std::chrono::duration_cast<Duration>(now));
}

WallTime LoopClock::WallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::unique_ptr<Timer> LoopClock::RunAfter(Duration delay,
                                           std::function<void()> callback) {
  return std::make_unique<LoopTimer>(loop_.base(), delay, std::move(callback));
}

}  // namespace kingcupdrift
