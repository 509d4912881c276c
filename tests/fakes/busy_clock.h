#ifndef TESTS_FAKES_BUSY_CLOCK_H_
#define TESTS_FAKES_BUSY_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// The clock of one single-threaded process whose work takes time. Callbacks
/// run one after the other, in the order in which they were due; while work
/// that was charged goes on, they wait.
class BusyClock : public Clock {
 public:
  explicit BusyClock(Clock& base);
  ~BusyClock() override;

  /// Includes the time charged to the present callback.
  MonotonicTime Now() const override;
  WallTime WallNow() const override { return base_.WallNow(); }
  std::unique_ptr<Timer> RunAfter(Duration delay,
                                  std::function<void()> callback) override;

  /// Adds work of this duration to what the process does now.
  void Charge(Duration work);

 private:
  struct State;
  class BusyTimer;

  void ScheduleRun();
  void RunWaiting();

  Clock& base_;
  // Shared with timers, which may outlive the clock.
  std::shared_ptr<State> state_;
  std::unique_ptr<Timer> run_timer_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_BUSY_CLOCK_H_
