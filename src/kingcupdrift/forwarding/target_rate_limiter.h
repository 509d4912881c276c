#ifndef KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/cold_target_tracker.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Keeps the requests of all entries (serving processes) to an engine below the
/// limit that the engine named, and those to a cold engine below the limit of
/// its service.
///
/// A few entries are the engine's senders, chosen by rendezvous hashing, and
/// divide the limit; the others send it nothing. So the requests of one moment
/// do not grow with the number of entries, and a sender that is gone is
/// replaced without a message.
///
/// The limit of a cold engine is a number of requests within a window, see
/// `ColdQuota`. Requests from before the engine was cold count as well. A
/// sender whose part grows uses the rest only once the requests of its
/// predecessor no longer count; so does an entry that has just started.
class TargetRateLimiter {
 public:
  TargetRateLimiter(const Clock& clock, InstanceId own)
      : clock_(clock),
        own_(own),
        entries_{std::move(own)},
        cold_targets_(clock) {}

  /// Adds what an engine said. Ignored if something later is known. True if
  /// other entries should be told: the limit changed, or was last told
  /// `kTellInterval` ago.
  bool Update(const EngineLimit& limit);
  /// Another process now runs under the engine's identifier.
  void Forget(const EngineId& engine);
  /// Entries that may be senders, this one included.
  void SetEntries(std::vector<InstanceId> entries);

  /// Limits of the services whose engines have one when cold.
  void SetColdLimits(std::map<ServiceId, ColdLimit> limits);
  /// As in `ColdTargetTracker`. Before the first call, and for one window after
  /// it, this entry sends nothing to cold engines.
  void SetTargetListComplete() { cold_targets_.SetListComplete(); }
  /// As in `ColdTargetTracker::UpdateRecord`. True if the target became cold.
  bool UpdateTarget(const TargetRecord& record, bool is_restored);
  /// The target stated in an answer how much longer it is cold. True if it
  /// became cold.
  bool UpdateColdTime(const EngineAddress& target, Duration left);
  void RemoveTarget(const EngineId& target) { cold_targets_.Remove(target); }

  /// Time until this entry may send a request to the engine: zero if it may
  /// now, nothing if it is not one of the senders of an engine that named a
  /// limit.
  std::optional<Duration> GetDelay(const EngineId& engine) const;
  /// Counts one request to the engine and returns the time for
  /// `ReturnRequest`.
  MonotonicTime CountRequest(const EngineId& engine);
  /// Takes back a request counted at `counted_at` from the limit of a cold
  /// engine: the engine did not take it.
  void ReturnRequest(const EngineId& engine, MonotonicTime counted_at);

  std::size_t CountLimited() const;
  std::size_t CountCold() const { return cold_targets_.CountCold(); }
  /// Zero if the engine is not cold.
  Duration GetColdLeft(const EngineId& engine) const {
    return cold_targets_.GetColdLeft(engine);
  }
  /// Limits in force.
  std::vector<EngineLimit> List() const;

  /// Senders of one engine. Each may send one request at once, and one is not
  /// enough where it gets too few requests to use the limit.
  static constexpr std::size_t kSenders = 3;
  /// A limit that is not confirmed for this long has ended: its engine would
  /// confirm it with each answer.
  static constexpr Duration kLimitLifetime = std::chrono::minutes(1);
  static constexpr Duration kTellInterval = std::chrono::seconds(2);
  /// Entries learn of a change of the membership up to this much later than
  /// others, so that a replaced sender may go on for this long.
  static constexpr Duration kMaxNewsDelay = std::chrono::milliseconds(700);
  /// Least rate of all senders together, so that the end of a limit is noticed.
  static constexpr double kMinRequestsPerSecond = 0.1;

 private:
  struct Limit {
    Incarnation incarnation;
    std::optional<double> requests_per_second;
    MonotonicTime said_at{};
    MonotonicTime told_at{};
    /// Requests that this entry may send, at `counted_at`; at most one.
    double allowance = 0;
    MonotonicTime counted_at{};
    /// This entry's part of the limit; zero if it is no sender.
    double own_rate = 0;
  };

  /// This entry's part of a cold engine's limit.
  struct ColdPart {
    std::size_t quota = 0;
    /// Times of the last requests in order. Where the quota grew, the requests
    /// of a predecessor stand in for own ones: one for each request that was
    /// added, at the latest time at which it may have been sent.
    std::deque<MonotonicTime> counted;
  };

  std::optional<Duration> GetNamedDelay(const EngineId& engine) const;
  Duration GetColdDelay(const EngineId& engine) const;
  /// Number of entries ahead of this one in the choice of the engine's senders.
  std::size_t GetRank(const EngineId& engine) const;
  /// Entries in reserve and draining ones are not among the entries.
  bool IsMember() const;
  void UpdateColdPart(const EngineId& engine, ColdPart& part);
  void UpdateColdParts();
  bool IsInForce(const Limit& limit) const;
  double GetAllowance(const Limit& limit) const;
  void DivideLimit(const EngineId& engine, Limit& limit);
  void DropOldLimits();

  const Clock& clock_;
  InstanceId own_;
  std::vector<InstanceId> entries_;
  std::map<EngineId, Limit> limits_;
  ColdTargetTracker cold_targets_;
  std::map<EngineId, ColdPart> cold_parts_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_
