#include "tests/fakes/manual_clock.h"

#include <algorithm>
#include <chrono>

namespace kingcupdrift::fakes {
namespace {

constexpr Duration kInitialWallTime = std::chrono::hours(24 * 365 * 50);

}  // namespace

struct ManualClock::State {
  std::map<TimerKey, std::function<void()>> pending;
};

class ManualClock::ManualTimer : public Timer {
 public:
  ManualTimer(std::shared_ptr<State> state, TimerKey key)
      : state_(std::move(state)), key_(key) {}
  ~ManualTimer() override { state_->pending.erase(key_); }

 private:
  std::shared_ptr<State> state_;
  TimerKey key_;
};

ManualClock::ManualClock()
    : wall_offset_(kInitialWallTime), state_(std::make_shared<State>()) {}

ManualClock::~ManualClock() = default;

WallTime ManualClock::WallNow() const {
  return WallTime(now_.time_since_epoch() + wall_offset_);
}

std::unique_ptr<Timer> ManualClock::RunAfter(Duration delay,
                                             std::function<void()> callback) {
  const TimerKey key{now_ + std::max(delay, Duration::zero()),
                     next_sequence_++};
  state_->pending.emplace(key, std::move(callback));
  return std::make_unique<ManualTimer>(state_, key);
}

bool ManualClock::RunNextDue(MonotonicTime end) {
  const auto it = state_->pending.begin();
  if (it == state_->pending.end() || it->first.first > end) {
    return false;
  }
  now_ = std::max(now_, it->first.first);
  const std::function<void()> callback = std::move(it->second);
  state_->pending.erase(it);
  callback();
  return true;
}

void ManualClock::Advance(Duration step) {
  const MonotonicTime end = now_ + step;
  while (RunNextDue(end)) {
  }
  now_ = end;
}

bool ManualClock::AdvanceUntil(const std::function<bool()>& is_done,
                               Duration limit) {
  const MonotonicTime end = now_ + limit;
  while (!is_done()) {
    if (!RunNextDue(end)) {
      now_ = end;
      return is_done();
    }
  }
  return true;
}

}  // namespace kingcupdrift::fakes
