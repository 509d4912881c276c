#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_REACHABILITY_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_REACHABILITY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/target_directory.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Whether this entry (a serving process) can connect to any engine or target
/// at all. If connections to several of them fail and none succeeds, it probes
/// a few others, and counts as cut off once these fail too. While it is cut off
/// it keeps probing.
class EngineReachability {
 public:
  /// All references outlive the object.
  EngineReachability(Clock& clock,
                     Random& random,
                     TargetClient& targets,
                     const TargetDirectory& directory,
                     DecisionLog& log)
      : clock_(clock),
        random_(random),
        targets_(targets),
        directory_(directory),
        log_(log) {}

  /// `listener` is called after each change of `is_cut_off`.
  void SetListener(std::function<void()> listener) {
    listener_ = std::move(listener);
  }

  /// An engine answered on a connection that was opened at `opened_at`.
  /// Connections from before the first failure say nothing: they may live on
  /// while new ones are refused.
  void OnAnswer(MonotonicTime opened_at);
  /// No connection to the engine could be made.
  void OnConnectFailure(const EngineId& engine);

  bool is_cut_off() const { return is_cut_off_; }

  /// Engines that must fail, or all if fewer are listed: one or two may have
  /// ended by themselves.
  static constexpr std::size_t kMinFailedEngines = 3;
  static constexpr std::size_t kProbedEngines = 3;
  /// As for checks of engines, which wait for no free slot.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
  /// Interval of probes while this entry is cut off.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

 private:
  void Probe();
  void HandleProbeResult(MonotonicTime opened_at, const Result<void>& answer);
  void SetCutOff(bool is_cut_off);

  Clock& clock_;
  Random& random_;
  TargetClient& targets_;
  const TargetDirectory& directory_;
  DecisionLog& log_;
  std::function<void()> listener_ = [] {};
  bool is_cut_off_ = false;
  // Engines that failed since the last answer.
  std::set<EngineId> failed_;
  std::optional<MonotonicTime> first_failure_at_;
  std::size_t probes_in_progress_ = 0;
  std::unique_ptr<Timer> probe_timer_;
  // Expires with this object: callbacks of calls that outlive it do nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_REACHABILITY_H_
