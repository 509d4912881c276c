#include "tests/fakes/freezable_clock.h"

#include <cstdint>
#include <utility>

namespace kingcupdrift::fakes {

struct FreezableClock::State {
  bool is_frozen = false;
  std::uint64_t next_overdue = 0;
  std::map<std::uint64_t, FreezableTimer*> overdue;
};

class FreezableClock::FreezableTimer : public Timer {
 public:
  FreezableTimer(std::shared_ptr<State> state, std::function<void()> callback)
      : state_(std::move(state)), callback_(std::move(callback)) {}
  ~FreezableTimer() override {
    if (is_overdue_) {
      state_->overdue.erase(overdue_key_);
    }
  }

  void SetBase(std::unique_ptr<Timer> base) { base_ = std::move(base); }

  void OnDue() {
    if (!state_->is_frozen) {
      Run();
      return;
    }
    is_overdue_ = true;
    overdue_key_ = state_->next_overdue++;
    state_->overdue.emplace(overdue_key_, this);
  }

  void Run() {
    is_overdue_ = false;
    // The callback may destroy this timer.
    const std::function<void()> callback = std::move(callback_);
    callback();
  }

 private:
  std::shared_ptr<State> state_;
  std::function<void()> callback_;
  std::unique_ptr<Timer> base_;
  bool is_overdue_ = false;
  std::uint64_t overdue_key_ = 0;
};

FreezableClock::FreezableClock(Clock& base)
    : base_(base), state_(std::make_shared<State>()) {}

FreezableClock::~FreezableClock() = default;

std::unique_ptr<Timer> FreezableClock::RunAfter(
    Duration delay,
    std::function<void()> callback) {
  auto timer = std::make_unique<FreezableTimer>(state_, std::move(callback));
  FreezableTimer* raw = timer.get();
  timer->SetBase(base_.RunAfter(delay, [raw] { raw->OnDue(); }));
  return timer;
}

bool FreezableClock::is_frozen() const {
  return state_->is_frozen;
}

void FreezableClock::Freeze() {
  state_->is_frozen = true;
}

void FreezableClock::Thaw() {
  state_->is_frozen = false;
  thaw_timer_ = base_.RunAfter(Duration::zero(), [this] { RunOverdue(); });
}

void FreezableClock::RunOverdue() {
  while (!state_->is_frozen && !state_->overdue.empty()) {
    const auto it = state_->overdue.begin();
    FreezableTimer* timer = it->second;
    state_->overdue.erase(it);
    timer->Run();
  }
}

}  // namespace kingcupdrift::fakes
