#ifndef TESTS_FAKES_MANUAL_CLOCK_H_
#define TESTS_FAKES_MANUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// A clock whose time moves only by `Advance` and `AdvanceUntil`. They run due
/// timers in order of their time; timers of the same time run in order of
/// creation.
class ManualClock : public Clock {
 public:
  ManualClock();
  ~ManualClock() override;

  MonotonicTime Now() const override { return now_; }
  WallTime WallNow() const override;
  std::unique_ptr<Timer> RunAfter(Duration delay,
                                  std::function<void()> callback) override;

  /// Advances time by `step` and runs every timer due until then, including
  /// timers that other timers create.
  void Advance(Duration step);
  /// Advances from timer to timer until `is_done` holds. Returns false if
  /// `limit` passes first.
  bool AdvanceUntil(const std::function<bool()>& is_done, Duration limit);
  /// Shifts the wall clock alone, as a clock correction does.
  void ShiftWall(Duration step) { wall_offset_ += step; }

 private:
  using TimerKey = std::pair<MonotonicTime, std::uint64_t>;
  struct State;
  class ManualTimer;

  bool RunNextDue(MonotonicTime end);

  MonotonicTime now_{};
  Duration wall_offset_;
  std::uint64_t next_sequence_ = 0;
  // Shared with timers, which may outlive the clock.
  std::shared_ptr<State> state_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_MANUAL_CLOCK_H_
