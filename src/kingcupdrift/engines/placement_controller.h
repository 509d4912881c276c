#ifndef KINGCUPDRIFT_ENGINES_PLACEMENT_CONTROLLER_H_
#define KINGCUPDRIFT_ENGINES_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/engines/lease_keeper.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct PlacementLimits {
  /// Pause between passes over the engines.
  Duration pass_interval = std::chrono::seconds(1);
  /// An order that an engine has taken is repeated after this time, which
  /// repairs the effect of an older order that arrived late.
  Duration reconcile_interval = std::chrono::seconds(60);
  std::size_t max_orders_in_flight = 16;
};

struct PlacementCounters {
  std::uint64_t orders = 0;
  std::uint64_t taken = 0;
  std::uint64_t fenced = 0;
  std::uint64_t failed = 0;
  /// Orders held back because the lease was no longer safe.
  std::uint64_t held_back = 0;
};

/// Brings every model engine to the state that the configuration asks for.
/// Orders state the desired state and carry the lease's fencing number; the
/// lease is checked right before each is sent.
class PlacementController {
 public:
  PlacementController(Clock& clock,
                      EngineClient& engines,
                      LeaseKeeper& lease,
                      PlacementLimits limits = {});
  ~PlacementController();
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  void SetConfig(const SiteConfig& config);
  void Start();
  /// Engines whose last taken order is the desired one, under this lease.
  std::size_t settled() const;
  const PlacementCounters& counters() const { return counters_; }

 private:
  struct Target;

  void Pass();
  bool IsSettled(const Target& target) const;
  bool IsWanting(const Target& target) const;
  void Send(const EngineId& id, Target& target);
  void OnAnswer(const EngineId& id,
                const PlacementOrder& order,
                const Result<void>& answer);

  Clock& clock_;
  EngineClient& engines_;
  LeaseKeeper& lease_;
  PlacementLimits limits_;
  PlacementCounters counters_;
  std::map<EngineId, Target> targets_;
  std::size_t in_flight_ = 0;
  // Fencing number that an engine found too old.
  FencingNumber refused_fence_{-1};
  std::unique_ptr<Timer> timer_;
  std::shared_ptr<bool> is_alive_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_PLACEMENT_CONTROLLER_H_
