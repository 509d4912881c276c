#ifndef KINGCUPDRIFT_ENGINES_HOLDING_SWEEPER_H_
#define KINGCUPDRIFT_ENGINES_HOLDING_SWEEPER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What the sweeper knows of the other instances.
class SweepView {
 public:
  virtual ~SweepView() = default;
  /// Instances that take part in sweeping, this one included.
  virtual std::vector<InstanceId> LiveInstances() const = 0;
  /// True if this entry is serving the attempt now, whoever began it.
  virtual bool IsInUse(const AttemptId& attempt) const = 0;
};

struct SweeperOptions {
  Duration interval = std::chrono::seconds(5);
  /// Entries that sweep one engine; more than one covers a wrong view.
  int sweepers_per_engine = 2;
  /// An owner must be absent from the view this long before its reservations
  /// and imports are released.
  Duration dead_owner_grace = std::chrono::seconds(30);
  /// The same for streams, which another entry may have taken over: longer than
  /// the longest time limit of a request.
  Duration dead_owner_stream_grace = std::chrono::minutes(11);
  /// Holdings past their expiry by more than this are cancelled.
  Duration expiry_margin = std::chrono::seconds(2);
};

struct SweeperCounters {
  std::uint64_t lists = 0;
  std::uint64_t failed_lists = 0;
  std::uint64_t released_expired = 0;
  std::uint64_t released_dead_owner = 0;
};

/// Frees engine memory that nobody will free otherwise. Each engine is swept by
/// the entries that rank first for it by rendezvous hashing. Cancelling and
/// releasing are idempotent, so that two sweepers of one engine are harmless.
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
  /// Sweeps now and then every interval.
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
