#ifndef KINGCUPDRIFT_ENGINES_HOLDING_SWEEPER_H_
#define KINGCUPDRIFT_ENGINES_HOLDING_SWEEPER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The sweeper's view of live instances and of attempts in use.
class SweepView {
 public:
  virtual ~SweepView() = default;
  /// All live entries (serving processes), including this one. They share the
  /// sweeping, and an owner that is not listed counts as dead.
  virtual std::vector<InstanceId> LiveInstances() const = 0;
  /// True if this entry serves the attempt now, also if another entry began it.
  /// Such an attempt's holdings are kept although their owner is dead, but
  /// expired ones are freed all the same.
  virtual bool IsInUse(const AttemptId& attempt) const = 0;
};

struct SweeperOptions {
  Duration interval = std::chrono::seconds(5);
  /// Number of entries that sweep one engine: several, in case one of them has
  /// a wrong list of live instances.
  int sweepers_per_engine = 2;
  /// Reservations and cache imports of an owner that is not live are freed
  /// after this time, counted from the first sweep that found a holding of it.
  Duration dead_owner_grace = std::chrono::seconds(30);
  /// The same for streams, which another entry may have taken over; longer than
  /// the longest timeout of a request.
  Duration dead_owner_stream_grace = std::chrono::minutes(11);
  /// Holdings past their expiry by more than this are freed.
  Duration expiry_margin = std::chrono::seconds(2);
};

struct SweeperCounters {
  /// Calls of `ListHoldings`, failed ones included.
  std::uint64_t lists = 0;
  std::uint64_t failed_lists = 0;
  /// Release or cancel calls sent for expired holdings. A holding that is still
  /// there at the next sweep counts again.
  std::uint64_t released_expired = 0;
  /// The same for holdings of dead owners.
  std::uint64_t released_dead_owner = 0;
};

/// Frees engine memory that no entry will free otherwise: expired holdings and
/// those of dead entries. Each engine is swept by the entries that rank first
/// for it in rendezvous hashing. Cancelling and releasing are idempotent, so
/// two sweepers of one engine do not conflict.
class HoldingSweeper {
 public:
  HoldingSweeper(Clock& clock,
                 EngineClient& engines,
                 SweepView& view,
                 InstanceId self,
                 SweeperOptions options = {});
  ~HoldingSweeper();
  HoldingSweeper(const HoldingSweeper&) = delete;
  HoldingSweeper& operator=(const HoldingSweeper&) = delete;

  void SetEngines(std::vector<EngineAddress> engines);
  /// Sweeps now, and again after each interval.
  void Start();
  bool IsResponsibleFor(const EngineId& engine) const;
  const SweeperCounters& counters() const { return counters_; }

 private:
  void Sweep();
  void FreeStaleHoldings(const EngineAddress& engine,
                         const std::vector<EngineHolding>& holdings);
  bool IsExpired(const EngineHolding& holding) const;
  bool IsOwnerDead(const EngineHolding& holding) const;
  void Free(const EngineAddress& engine, const EngineHolding& holding);
  void TrackAbsentOwners(const std::vector<EngineHolding>& holdings);

  Clock& clock_;
  EngineClient& engines_;
  SweepView& view_;
  InstanceId self_;
  SweeperOptions options_;
  SweeperCounters counters_;
  std::vector<EngineAddress> addresses_;
  std::map<InstanceId, MonotonicTime> absent_since_;
  std::unique_ptr<Timer> timer_;
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_HOLDING_SWEEPER_H_
