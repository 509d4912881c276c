#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_

#include <functional>
#include <memory>
#include <set>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/target_health.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Asks engines under suspicion whether they still answer. A broken send alone
/// does not tell a dead engine from a lost answer, and a prompt that many
/// engines read together stalls for as long as one of them is dead.
class EngineChecker {
 public:
  using Listener = std::function<void(const EngineAddress& engine)>;

  /// All references outlive the checker.
  EngineChecker(TargetClient& targets, TargetHealth& health, DecisionLog& log)
      : targets_(targets), health_(health), log_(log) {}

  /// `on_suspected` hears of engines that this entry itself suspects, `on_down`
  /// of all that do not answer.
  void SetListeners(Listener on_suspected, Listener on_down);

  /// A send to the engine failed, or another engine blames it.
  void ReportSuspect(const EngineAddress& engine);
  /// Another entry suspects it. Hearsay starts the own check and nothing more:
  /// the other entry may be the one that is cut off.
  void CheckSuspect(const EngineAddress& engine);

  /// Checks that must fail in a row: one may be lost on the way.
  static constexpr int kFailureThreshold = 2;
  /// Engines answer a check without a slot, so within two ways between failure
  /// domains and a turn; far above that.
  static constexpr Duration kCheckTimeout = std::chrono::milliseconds(150);

 private:
  void Check(const EngineAddress& engine, int checks_left);
  void HandleAnswer(const EngineAddress& engine,
                    int checks_left,
                    const Result<void>& answer);

  TargetClient& targets_;
  TargetHealth& health_;
  DecisionLog& log_;
  Listener on_suspected_ = [](const EngineAddress&) {};
  Listener on_down_ = [](const EngineAddress&) {};
  std::set<EngineId> in_check_;
  // Expires with the checker, for calls that outlive it.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_ENGINE_CHECKER_H_
