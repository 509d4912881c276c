#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_

#include <functional>
#include <map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/prompt_part_quarantine.h"
#include "kingcupdrift/forwarding/target_health.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Finds out which prompts crash engines: matches interrupted prompts with
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

  /// The engine interrupted a prompt with these parts that it had not answered
  /// for `kProvingTime`. Counts as a crash if the engine is or will be found
  /// down.
  void OnInterrupted(const EngineAddress& engine,
                     const std::vector<PromptPartId>& parts);
  void OnEngineDown(const EngineAddress& engine);
  /// An engine answered a prompt with these parts whole, or for `kProvingTime`.
  void OnAnswered(const std::vector<PromptPartId>& parts);

  /// Adds what another entry reports.
  void Apply(const CrashEvidence& evidence);
  /// Crashes known here, also from other entries, of at most this age.
  CrashEvidence ListEvidence(Duration max_age) const;

  /// Time for which prompts with these parts must not be sent; zero if they may
  /// be.
  Duration GetQuarantineLeft(const std::vector<PromptPartId>& parts) const {
    return quarantine_.GetTimeLeft(parts);
  }
  std::vector<PromptPartId> ListQuarantined() const;
  /// A record of a quarantine was read from or deleted in the store.
  void ApplyRecord(const PromptPartId& part, bool is_present);

  /// Time from the first event on after which an answer counts as proof that
  /// the prompt does not crash its engine.
  static constexpr Duration kProvingTime = std::chrono::milliseconds(500);
  /// Longer than checks of an engine take.
  static constexpr Duration kMatchTime = std::chrono::seconds(2);

 private:
  struct Interrupted {
    MonotonicTime time;
    std::vector<PromptPartId> parts;
  };

  void ReportCrash(const EngineAddress& engine);
  void LogChanges();

  const Clock& clock_;
  const TargetHealth& health_;
  DecisionLog& log_;
  PromptPartQuarantine quarantine_;
  std::map<EngineId, std::vector<Interrupted>> interrupted_;
  // Parts in quarantine that were logged.
  std::map<PromptPartId, int> logged_;
  Listener listener_ = [](const CrashEvidence&) {};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_CRASH_MONITOR_H_
