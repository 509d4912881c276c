#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ATTEMPT_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ATTEMPT_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// What is known about an attempt that has brought no event yet.
struct AttemptState {
  /// Predicted time to the first event, as of sending.
  Duration predicted{0};
  /// Time since sending.
  Duration waited{0};
  /// Time since the target's last sign of progress, at most `waited`. Signs are
  /// first events of other prompts, and events of other streams, at it.
  Duration target_quiet{0};
  /// The same of the prefill helper that was quiet for longest; zero without
  /// helpers.
  Duration helper_quiet{0};
  /// Known prefill work ahead at the attempt's engines: maximum over them.
  Duration backlog{0};
  /// Time after which the first event is too late.
  Duration left_to_first_event{0};
  Duration left_to_deadline{0};
  /// Lower bound of the time that a second attempt needs to its first event.
  Duration ideal_time{0};
  /// Time by which this check itself runs late, because the entry (the serving
  /// process) was busy. Events may have arrived that it has not read yet.
  Duration check_delay{0};
};

/// Whether the first event of an attempt is overdue, and what to do about it.
struct OverdueDecision {
  bool is_overdue = false;
  /// A second attempt elsewhere is better than waiting, if one can be in time
  /// (see `CanFinishInTime`).
  bool should_leave = false;
};

/// An attempt is overdue after `kPredictionError` times its prediction. One
/// whose target shows nothing is left then, after a margin. One whose target
/// progresses, but not a helper, is left later. One whose engines all progress
/// is left only at the last moment for a second attempt, far behind its
/// prediction, and if no known work explains the delay.
OverdueDecision DecideOverdue(const AttemptState& state);

/// A second attempt with this predicted time to its first event is likely to be
/// in time.
bool CanFinishInTime(const AttemptState& state, Duration predicted);

/// The engine has shown nothing since sending, or for `kSilenceTime`.
bool IsSilent(Duration quiet, Duration waited);

/// Predictions are off by this factor in bursts, when work notes of other
/// entries (serving processes) arrive after the engine was chosen.
inline constexpr int kPredictionError = 2;
/// Factor beyond which an attempt is late even at an engine that progresses.
inline constexpr int kLoadedPredictionError = 4;
/// Time without progress that sound engines may show: as long as an engine
/// stalls for another one that died, before it reports that one as faulty. A
/// prefill part stalls streams for at most about 1 s.
inline constexpr Duration kSilenceTime = std::chrono::milliseconds(1700);
/// Longest delay of a check that is acted on. The next one follows after the
/// entry has read what arrived.
inline constexpr Duration kMaxCheckDelay = std::chrono::milliseconds(50);
/// Least delay beyond the expected time; covers the network and one iteration.
inline constexpr Duration kMinOverdueMargin = std::chrono::milliseconds(250);
/// The last moment for a second attempt is when this many ideal times, plus
/// `kMinOverdueMargin`, are left. Placement accepts about twice the ideal time
/// under load, and `kSecondAttemptReserve` comes on top.
inline constexpr int kSecondAttemptFactor = 3;
/// Fraction of its predicted time that a second attempt must have in reserve.
inline constexpr double kSecondAttemptReserve = 0.25;
/// Interval of checks while an attempt is overdue and not given up. Each may
/// compute a placement over all engines.
inline constexpr Duration kOverdueCheckInterval =
    std::chrono::milliseconds(200);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ATTEMPT_H_
