#ifndef TESTS_FAKES_FREEZABLE_CLOCK_H_
#define TESTS_FAKES_FREEZABLE_CLOCK_H_

#include <functional>
#include <map>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// The clock of one process that can be frozen as by SIGSTOP: time goes on, but
/// no timer runs. After it is thawed, overdue timers run in order.
class FreezableClock : public Clock {
 public:
  explicit FreezableClock(Clock& base);
  ~FreezableClock() override;

  MonotonicTime Now() const override { return base_.Now(); }
  WallTime WallNow() const override { return base_.WallNow(); }
  std::unique_ptr<Timer> RunAfter(Duration delay,
                                  std::function<void()> callback) override;

  void Freeze();
  void Thaw();
  bool is_frozen() const;

 private:
  struct State;
  class FreezableTimer;

  void RunOverdue();

  Clock& base_;
  // Shared with timers, which may outlive the clock.
  std::shared_ptr<State> state_;
  std::unique_ptr<Timer> thaw_timer_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FREEZABLE_CLOCK_H_
