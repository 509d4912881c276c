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

struct PlacementOptions {
  /// Time between two passes over all engines.
  Duration pass_interval = std::chrono::seconds(1);
  /// An accepted order is repeated after this time, which repairs the effect of
  /// an older order that arrived late. It also limits the backoff after failed
  /// orders, which starts at `pass_interval` and doubles with each failure.
  Duration resync_interval = std::chrono::seconds(60);
  std::size_t max_orders_in_flight = 16;
};

struct PlacementCounters {
  /// Orders sent.
  std::uint64_t orders = 0;
  std::uint64_t accepted = 0;
  /// Orders that an engine refused since it had seen a newer fencing number;
  /// not counted in `failed`.
  std::uint64_t fenced = 0;
  std::uint64_t failed = 0;
  /// Orders that were due but not sent, because the lease was not held or an
  /// engine had refused its fencing number. An entry (serving process) without
  /// the lease counts every engine at each pass.
  std::uint64_t withheld = 0;
};

/// Reconciles every model engine with the placement in the configuration.
/// An order contains the desired state and the lease's fencing number; the
/// lease is checked right before each order is sent.
class PlacementController {
 public:
  PlacementController(Clock& clock,
                      EngineClient& engines,
                      LeaseKeeper& lease,
                      PlacementOptions options = {});
  ~PlacementController();
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  void SetConfig(const SiteConfig& config);
  void Start();
  /// Number of engines whose last accepted order is the desired one and carries
  /// the current fencing number.
  std::size_t reconciled_engines() const;
  const PlacementCounters& counters() const { return counters_; }

 private:
  struct EnginePlacement;

  void RunPass();
  bool IsReconciled(const EnginePlacement& target) const;
  bool NeedsOrder(const EnginePlacement& target) const;
  void Send(const EngineId& id, EnginePlacement& target);
  void OnAnswer(const EngineId& id,
                const PlacementOrder& order,
                const Result<void>& answer);

  Clock& clock_;
  EngineClient& engines_;
  LeaseKeeper& lease_;
  PlacementOptions options_;
  PlacementCounters counters_;
  std::map<EngineId, EnginePlacement> placements_;
  std::size_t in_flight_ = 0;
  // The last fencing number that an engine refused as too old.
  FencingNumber refused_fence_{-1};
  std::unique_ptr<Timer> timer_;
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_PLACEMENT_CONTROLLER_H_
