#ifndef KINGCUPDRIFT_NET_LOOP_CLOCK_H_
#define KINGCUPDRIFT_NET_LOOP_CLOCK_H_

#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/net/event_loop.h"

namespace kingcupdrift {

/// The system's monotonic and wall clocks, with timers on the loop.
class LoopClock : public Clock {
 public:
  explicit LoopClock(EventLoop& loop) : loop_(loop) {}

  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  std::unique_ptr<Timer> RunAfter(Duration delay,
                                  std::function<void()> callback) override;

 private:
  EventLoop& loop_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_LOOP_CLOCK_H_
