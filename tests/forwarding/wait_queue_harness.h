#ifndef TESTS_FORWARDING_WAIT_QUEUE_HARNESS_H_
#define TESTS_FORWARDING_WAIT_QUEUE_HARNESS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/internal/wait_queue.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {

/// Requests of one kind, which arrive at random times.
struct SimulatedKind {
  std::string name;
  std::string workspace = "w";
  int priority = kDefaultPriority;
  double per_second = 0;
  Duration work{0};
  /// Slots that a request occupies, all at once, for 0.5 to 1.5 times its work.
  int slots = 1;
  Duration max_wait = std::chrono::seconds(2);
  Duration target_latency = std::chrono::milliseconds(250);
};

struct SimulatedCounts {
  int arrived = 0;
  int started = 0;
  /// Started within the target latency.
  int on_time = 0;

  double GetStartedShare() const { return Share(started); }
  double GetOnTimeShare() const { return Share(on_time); }

 private:
  double Share(int n) const {
    return arrived == 0 ? 0 : static_cast<double>(n) / arrived;
  }
};

/// A wait queue before a number of slots, on a paused clock.
class WaitQueueHarness {
 public:
  WaitQueueHarness(int slots, bool uses_priority);
  ~WaitQueueHarness();

  /// Lets requests of `kinds` arrive for `time`, then waits until all are over.
  void Run(const std::vector<SimulatedKind>& kinds, Duration time);
  /// One request arrives now.
  void Arrive(const SimulatedKind& kind);

  ManualClock clock;
  std::string log_text;
  DecisionLog log;
  WaitQueue queue;
  SeededRandom random{7};
  int free_slots = 0;
  /// By the name of the kind.
  std::map<std::string, SimulatedCounts> counts;
  /// Names of the kinds in order of their starts.
  std::vector<std::string> starts;
  /// Longest wait of the requests that started, by the name of the kind.
  std::map<std::string, Duration> longest_wait;

 private:
  class Request;

  bool uses_priority_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_WAIT_QUEUE_HARNESS_H_
