#ifndef KINGCUPDRIFT_FORWARDING_COLD_TARGET_TRACKER_H_
#define KINGCUPDRIFT_FORWARDING_COLD_TARGET_TRACKER_H_

#include <cstddef>
#include <map>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/cold_limit.h"
#include "kingcupdrift/forwarding/target_directory.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Tells which targets are cold, by their records and answers. Each of the two
/// replaces only what it said itself before, and the longer remaining time
/// counts. Remaining times count from their receipt, so they end late by the
/// time that they were on their way.
class ColdTargetTracker {
 public:
  explicit ColdTargetTracker(const Clock& clock) : clock_(clock) {}

  /// Targets of other services are never cold. What is known of them stays, for
  /// a later configuration.
  void SetLimits(std::map<ServiceId, ColdLimit> limits) {
    limits_ = std::move(limits);
  }
  /// Processes first listed from now on have just started: without a remaining
  /// time in their record they are cold for the service's `cold_time`.
  void SetListComplete();
  /// When the list was first complete; nothing before.
  std::optional<MonotonicTime> complete_since() const {
    return complete_since_;
  }

  /// A record without a remaining time changes nothing for a known process. Nor
  /// does one of an older copy of the store (`is_restored`).
  void UpdateRecord(const TargetRecord& record, bool is_restored);
  /// The target answered that it stays cold for `left`; zero: it is not cold.
  void UpdateFromAnswer(const EngineAddress& target, Duration left);
  /// The target is no longer listed. Its process stays known for
  /// `TargetDirectory::kRemovalMemory`, in case that only its record was lost.
  void Remove(const EngineId& id);

  /// The target is listed, or was removed a short time ago.
  bool IsKnown(const EngineId& id) const { return states_.contains(id); }
  /// Zero if the target is not cold.
  Duration GetColdLeft(const EngineId& id) const;
  /// Limit while the target is cold; null if its service has none.
  const ColdLimit* FindLimit(const EngineId& id) const;
  /// Listed targets that are cold.
  std::size_t CountCold() const;

  /// Remaining times up to this many times the service's `cold_time` are
  /// believed, and longer ones clamped: a faulty engine would else be held back
  /// for good.
  static constexpr int kMaxColdTimeFactor = 10;

 private:
  /// What a record or an answer said.
  struct Statement {
    MonotonicTime received_at{};
    /// Absent: the process has just started.
    std::optional<Duration> left;
  };
  struct State {
    ServiceId service;
    Incarnation incarnation;
    std::optional<Statement> record = std::nullopt;
    std::optional<Statement> answer = std::nullopt;
    std::optional<MonotonicTime> removed_at = std::nullopt;
  };

  Duration GetColdLeft(const State& state) const;
  bool IsNewProcess(const TargetRecord& record) const;
  void ForgetRemoved();

  const Clock& clock_;
  std::map<ServiceId, ColdLimit> limits_;
  std::optional<MonotonicTime> complete_since_;
  std::map<EngineId, State> states_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_COLD_TARGET_TRACKER_H_
