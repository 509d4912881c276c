#include "kingcupdrift/forwarding/internal/engine_checker.h"

#include <utility>

namespace kingcupdrift {

void EngineChecker::SetListeners(Listener on_suspected,
                                 Listener on_down,
                                 AnswerListener on_answer) {
  on_suspected_ = std::move(on_suspected);
  on_down_ = std::move(on_down);
  on_answer_ = std::move(on_answer);
}

void EngineChecker::ReportSuspect(const EngineAddress& engine) {
  if (!engines_in_check_.contains(engine.id) && !health_.IsDown(engine.id) &&
      !health_.IsPaused(engine.id) && !directory_.IsEvacuated(engine.id)) {
    on_suspected_(engine);
    CheckSuspect(engine);
  }
}

void EngineChecker::CheckSuspect(const EngineAddress& engine) {
  if (health_.IsDown(engine.id) || health_.IsPaused(engine.id) ||
      directory_.IsEvacuated(engine.id) ||
      !engines_in_check_.insert(engine.id).second) {
    return;
  }
  Check(engine, kFailureThreshold);
}

void EngineChecker::Check(const EngineAddress& engine, int checks_left) {
  const std::weak_ptr<bool> alive = lifetime_token_;
  targets_.Check(engine, kCheckTimeout,
                 [this, alive, engine, checks_left,
                  opened_at = clock_.Now()](const Result<void>& answer) {
                   if (!alive.expired()) {
                     HandleCheckResult(engine, checks_left, opened_at, answer);
                   }
                 });
}

void EngineChecker::HandleCheckResult(const EngineAddress& engine,
                                      int checks_left,
                                      MonotonicTime opened_at,
                                      const Result<void>& answer) {
  if (!answer && checks_left > 1 && !health_.IsPaused(engine.id) &&
      !directory_.IsEvacuated(engine.id)) {
    Check(engine, checks_left - 1);
    return;
  }
  engines_in_check_.erase(engine.id);
  if (answer) {
    reachability_.OnAnswer(opened_at);
    on_answer_(engine, opened_at);
  } else {
    reachability_.OnConnectFailure(engine.id);
  }
  log_.Add("forward", "check")
      .Text("target", engine.id.value())
      .Text("outcome", answer ? "answers" : "down")
      .Text("cause", answer ? "" : answer.error().detail);
  if (!answer) {
    health_.OnDown(engine.id);
    on_down_(engine);
  }
}

}  // namespace kingcupdrift
