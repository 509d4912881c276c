#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_ENGINE_POLLER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_ENGINE_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// Polls load reports and cache events of this entry's engines in turn. The
/// rate of calls is limited, so that an entry's control traffic does not grow
/// with the fleet; the more engines, the longer the interval of each.
class EnginePoller {
 public:
  /// `on_report_read` runs after each read of a load report, also a failed one.
  EnginePoller(Clock& clock,
               Random& random,
               EngineClient& engines,
               Router& router,
               std::function<void()> on_report_read);
  ~EnginePoller();
  EnginePoller(const EnginePoller&) = delete;
  EnginePoller& operator=(const EnginePoller&) = delete;

  /// Replaces the engines. Reads a report of each new one at once, beyond the
  /// limit of the rate.
  void SetEngines(std::vector<EngineAddress> engines);

  /// Upper limit of the mean rate of calls to all engines together.
  static constexpr int kMaxCallsPerSecond = 12;
  /// Shortest mean time between calls to one engine.
  static constexpr Duration kMinMeanInterval = std::chrono::milliseconds(250);
  /// One of this many calls to an engine reads cache events, the others read
  /// load reports.
  static constexpr std::uint64_t kCallsPerCacheRead = 4;

 private:
  struct State {
    EngineAddress address;
    std::uint64_t poll_count = 0;
    std::uint64_t last_cache_event = 0;
    bool is_reading = false;
  };

  Duration ComputeMeanInterval() const;
  void Schedule();
  void PollNext();
  void ReadReport(State& state);
  void ReadCacheEvents(State& state);

  Clock& clock_;
  Random& random_;
  EngineClient& engines_;
  Router& router_;
  std::function<void()> on_report_read_;
  std::map<EngineId, State> states_;
  EngineId last_polled_;
  std::unique_ptr<Timer> timer_;
  /// Cleared on destruction, so that late answers are dropped.
  std::shared_ptr<bool> is_live_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_ENGINE_POLLER_H_
