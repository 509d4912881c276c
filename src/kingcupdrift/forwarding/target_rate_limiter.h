#ifndef KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_
#define KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Keeps the requests of all entries (serving processes) to an engine below the
/// limit that the engine named.
///
/// A few entries are the engine's senders, chosen by rendezvous hashing, and
/// divide the limit; the others send it nothing. So the requests of one moment
/// do not grow with the number of entries, and a sender that is gone is
/// replaced without a message.
class TargetRateLimiter {
 public:
  TargetRateLimiter(const Clock& clock, InstanceId own)
      : clock_(clock), own_(own), entries_{std::move(own)} {}

  /// Adds what an engine said. Ignored if something later is known. True if
  /// other entries should be told: the limit changed, or was last told
  /// `kTellInterval` ago.
  bool Update(const EngineLimit& limit);
  /// Another process now runs under the engine's identifier.
  void Forget(const EngineId& engine);
  /// Entries that may be senders, this one included.
  void SetEntries(std::vector<InstanceId> entries);

  /// Time until this entry may send a request to the engine: zero if it may
  /// now, nothing if it is not one of the engine's senders.
  std::optional<Duration> GetDelay(const EngineId& engine) const;
  /// Counts one request to the engine.
  void CountRequest(const EngineId& engine);

  std::size_t CountLimited() const;
  /// Limits in force.
  std::vector<EngineLimit> List() const;

  /// Senders of one engine. Each may send one request at once, and one is not
  /// enough where it gets too few requests to use the limit.
  static constexpr std::size_t kSenders = 3;
  /// A limit that is not confirmed for this long has ended: its engine would
  /// confirm it with each answer.
  static constexpr Duration kLimitLifetime = std::chrono::minutes(1);
  static constexpr Duration kTellInterval = std::chrono::seconds(2);
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

  bool IsInForce(const Limit& limit) const;
  double GetAllowance(const Limit& limit) const;
  void DivideLimit(const EngineId& engine, Limit& limit);
  void DropOldLimits();

  const Clock& clock_;
  InstanceId own_;
  std::vector<InstanceId> entries_;
  std::map<EngineId, Limit> limits_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_TARGET_RATE_LIMITER_H_
