#ifndef TESTS_NET_PAUSED_LOOP_H_
#define TESTS_NET_PAUSED_LOOP_H_

#include <doctest/doctest.h>

#include <functional>

#include "kingcupdrift/net/net.h"

namespace kingcupdrift {

/// A loop whose time moves only by hand. Its sockets are real.
struct PausedLoop {
  /// Moves the time, as a stop of the process does, and runs one iteration.
  void Resume(Duration stopped) {
    now += stopped;
    loop.RunIteration();
  }

  /// Runs the loop in paused time until `is_done`.
  void Await(const std::function<bool()>& is_done) {
    for (int i = 0; i < 1000 && !is_done(); ++i) {
      // Without a task the loop would wait for a socket.
      loop.Post([] {});
      loop.RunIteration();
    }
    REQUIRE(is_done());
  }

  MonotonicTime now{std::chrono::hours(1)};
  EventLoop loop{[this] { return now; }};
  LoopClock clock{loop};
};

}  // namespace kingcupdrift

#endif  // TESTS_NET_PAUSED_LOOP_H_
