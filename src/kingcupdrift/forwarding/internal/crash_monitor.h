#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_

#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/target_health.h"
#include "kingcupdrift/forwarding/work_quarantine.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Finds out which requests crash engines: matches interrupted requests with
/// engines that are found down, and exchanges the evidence with other entries
/// (serving processes), since each of them sees few of the crashes.
class CrashMonitor {
 public:
  using Listener = std::function<void(const CrashEvidence&)>;

  /// All references outlive the monitor.
  CrashMonitor(const Clock& clock, const TargetHealth& health, DecisionLog& log)
      : clock_(clock), health_(health), log_(log), quarantine_(clock) {}

  /// Called with evidence that the other entries need.
  void SetListener(Listener listener) { listener_ = std::move(listener); }

  /// The engine lost the connection of a request with these keys that it had
  /// not answered for `kProvingTime`; the keys of prompt parts come first, in
  /// order. Counts as a crash if the engine's process is or will be found to
  /// have ended.
  void OnInterrupted(const EngineAddress& engine,
                     const std::vector<WorkKey>& keys);
  /// A check failed, or another process took the engine's place.
  void OnEngineDown(const EngineAddress& engine);
  /// The engine answered on a connection that was opened at `opened_at`, so
  /// that it had not ended before.
  void OnEngineAnswered(const EngineAddress& engine, MonotonicTime opened_at);
  /// An engine answered a request with these keys whole, or for
  /// `kProvingTime`.
  void OnAnswered(const std::vector<WorkKey>& keys);

  /// Adds what another entry reports.
  void Apply(const CrashEvidence& evidence);
  bool HasCrash(const EngineId& engine, Incarnation incarnation) const {
    return quarantine_.HasCrash(engine, incarnation);
  }
  /// Crashes known here, also from other entries, of at most this age.
  CrashEvidence ListEvidence(Duration max_age) const;

  /// Time for which requests with these keys must not be sent; zero if they may
  /// be.
  Duration GetQuarantineLeft(const std::vector<WorkKey>& keys) const {
    return quarantine_.GetTimeLeft(keys);
  }
  std::vector<WorkKey> ListQuarantined() const;
  /// A record of a quarantine was read from or deleted in the store.
  void ApplyRecord(const WorkKey& key, bool is_present);

  /// Time from the first event on after which an answer counts as proof that
  /// the request does not crash its engine.
  static constexpr Duration kProvingTime = std::chrono::milliseconds(500);
  /// Longer than checks of an engine take.
  static constexpr Duration kMatchTime = std::chrono::seconds(2);

 private:
  struct Interrupted {
    MonotonicTime time;
    std::vector<WorkKey> keys;
  };

  void ReportCrash(const EngineAddress& engine);
  void LogChanges();
  void LogQuarantine(const WorkKey& key, int crashes, std::string_view state);

  const Clock& clock_;
  const TargetHealth& health_;
  DecisionLog& log_;
  WorkQuarantine quarantine_;
  std::map<EngineId, std::vector<Interrupted>> interrupted_;
  // Keys in quarantine that were logged.
  std::map<WorkKey, int> logged_;
  Listener listener_ = [](const CrashEvidence&) {};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_
