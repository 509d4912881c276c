#include "tests/fakes/busy_clock.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::fakes {

struct BusyClock::State {
  MonotonicTime busy_until{};
  std::uint64_t next_waiting = 0;
  // Due callbacks, in order.
  std::map<std::uint64_t, BusyTimer*> waiting;
};

class BusyClock::BusyTimer : public Timer {
 public:
  BusyTimer(std::shared_ptr<State> state, std::function<void()> callback)
      : state_(std::move(state)), callback_(std::move(callback)) {}
  ~BusyTimer() override {
    if (is_waiting_) {
      state_->waiting.erase(waiting_key_);
    }
  }

  void SetBase(std::unique_ptr<Timer> base) { base_ = std::move(base); }

  void Wait() {
    is_waiting_ = true;
    waiting_key_ = state_->next_waiting++;
    state_->waiting.emplace(waiting_key_, this);
  }

  void Run() {
    is_waiting_ = false;
    // The callback may destroy this timer.
    const std::function<void()> callback = std::move(callback_);
    callback();
  }

 private:
  std::shared_ptr<State> state_;
  std::function<void()> callback_;
  std::unique_ptr<Timer> base_;
  bool is_waiting_ = false;
  std::uint64_t waiting_key_ = 0;
};

BusyClock::BusyClock(Clock& base)
    : base_(base), state_(std::make_shared<State>()) {}

BusyClock::~BusyClock() = default;

MonotonicTime BusyClock::Now() const {
  return std::max(base_.Now(), state_->busy_until);
}

void BusyClock::Charge(Duration work) {
  state_->busy_until = Now() + work;
}

std::unique_ptr<Timer> BusyClock::RunAfter(Duration delay,
                                           std::function<void()> callback) {
  auto timer = std::make_unique<BusyTimer>(state_, std::move(callback));
  BusyTimer* const raw = timer.get();
  const Duration ahead = Now() - base_.Now();
  timer->SetBase(base_.RunAfter(ahead + delay, [this, raw] {
    raw->Wait();
    ScheduleRun();
  }));
  return timer;
}

void BusyClock::ScheduleRun() {
  if (!run_timer_) {
    run_timer_ = base_.RunAfter(Now() - base_.Now(), [this] { RunWaiting(); });
  }
}

void BusyClock::RunWaiting() {
  run_timer_.reset();
  if (state_->busy_until <= base_.Now() && !state_->waiting.empty()) {
    const auto it = state_->waiting.begin();
    BusyTimer* const timer = it->second;
    state_->waiting.erase(it);
    timer->Run();
  }
  if (!state_->waiting.empty()) {
    ScheduleRun();
  }
}

}  // namespace kingcupdrift::fakes
