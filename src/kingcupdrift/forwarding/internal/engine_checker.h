#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_

#include <functional>
#include <memory>
#include <set>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/internal/engine_reachability.h"
#include "kingcupdrift/forwarding/target_directory.h"
#include "kingcupdrift/forwarding/target_health.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Checks suspected engines: sends them a request that they answer at once. A
/// failed attempt may come from a dead engine or from a lost answer; a check
/// distinguishes them. Checks are quick, since a prompt whose prefill is
/// divided among engines waits while one of them is down.
class EngineChecker {
 public:
  using Listener = std::function<void(const EngineAddress& engine)>;

  /// All references outlive the checker.
  EngineChecker(const Clock& clock,
                TargetClient& targets,
                TargetHealth& health,
                EngineReachability& reachability,
                const TargetDirectory& directory,
                DecisionLog& log)
      : clock_(clock),
        targets_(targets),
        health_(health),
        reachability_(reachability),
        directory_(directory),
        log_(log) {}

  using AnswerListener =
      std::function<void(const EngineAddress& engine, MonotonicTime opened_at)>;
  /// `on_suspected` is called for each engine that this entry itself suspects,
  /// `on_down` for each engine that failed its check, and `on_answer` for each
  /// that answered, with the time at which the connection was opened.
  void SetListeners(Listener on_suspected,
                    Listener on_down,
                    AnswerListener on_answer);

  /// Reports and checks an engine: an attempt at it failed, or another engine
  /// blames it. Does nothing while it is being checked, known to be down, or
  /// paused at its own wish, and while its failure domain is evacuated.
  void ReportSuspect(const EngineAddress& engine);
  /// Checks an engine that another entry (serving process) suspects. The
  /// suspicion alone has no other effect: the other entry may be the one that
  /// is cut off.
  void CheckSuspect(const EngineAddress& engine);

  /// Number of checks that must fail in a row: one may be lost in the network.
  static constexpr int kFailureThreshold = 2;
  /// Timeout of one check. Checks don't wait for a free slot, so an answer
  /// takes two network trips between failure domains and one turn of the
  /// engine's event loop, far less than this.
  static constexpr Duration kCheckTimeout = std::chrono::milliseconds(150);

 private:
  void Check(const EngineAddress& engine, int checks_left);
  void HandleCheckResult(const EngineAddress& engine,
                         int checks_left,
                         MonotonicTime opened_at,
                         const Result<void>& answer);

  const Clock& clock_;
  TargetClient& targets_;
  TargetHealth& health_;
  EngineReachability& reachability_;
  const TargetDirectory& directory_;
  DecisionLog& log_;
  Listener on_suspected_ = [](const EngineAddress&) {};
  Listener on_down_ = [](const EngineAddress&) {};
  AnswerListener on_answer_ = [](const EngineAddress&, MonotonicTime) {};
  std::set<EngineId> engines_in_check_;
  // Expires with the checker, so that callbacks of calls that outlive it do
  // nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_
