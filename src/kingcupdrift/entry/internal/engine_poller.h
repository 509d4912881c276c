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

/// Reads load reports and cache events of the engines that this entry knows, in
/// turn. The rate of calls is fixed, so that the control traffic of an entry
/// does not grow with the fleet; the interval of one engine does.
class EnginePoller {
 public:
  EnginePoller(Clock& clock,
               Random& random,
               EngineClient& engines,
               Router& router,
               std::function<void()> on_report);
  ~EnginePoller();
  EnginePoller(const EnginePoller&) = delete;
  EnginePoller& operator=(const EnginePoller&) = delete;

  void SetEngines(std::vector<EngineAddress> engines);

  /// Calls a second to all engines together.
  static constexpr int kCallsPerSecond = 12;
  /// Shortest time between two reports of one engine.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(250);
  /// Of this many calls to an engine one reads cache events, the others load.
  static constexpr std::uint64_t kCallsPerCacheRead = 4;

 private:
  struct State {
    EngineAddress address;
    std::uint64_t poll_count = 0;
    std::uint64_t last_cache_event = 0;
    bool is_reading = false;
  };

  Duration Interval() const;
  void Schedule();
  void PollNext();
  void ReadReport(State& state);
  void ReadCacheEvents(State& state);

  Clock& clock_;
  Random& random_;
  EngineClient& engines_;
  Router& router_;
  std::function<void()> on_report_;
  std::map<EngineId, State> states_;
  EngineId last_polled_;
  std::unique_ptr<Timer> timer_;
  /// Cleared on destruction, so that late answers are dropped.
  std::shared_ptr<bool> is_live_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_ENGINE_POLLER_H_
