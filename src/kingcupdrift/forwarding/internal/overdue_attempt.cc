#include "kingcupdrift/forwarding/internal/overdue_attempt.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

Duration GetTimeLeft(const AttemptState& state) {
  return std::min(state.left_to_first_event, state.left_to_deadline);
}

bool IsLastMoment(const AttemptState& state) {
  return GetTimeLeft(state) <=
         kSecondAttemptFactor * state.ideal_time + kMinOverdueMargin;
}

bool ShouldLeave(const AttemptState& state) {
  const Duration expected = kPredictionError * state.predicted;
  const Duration late = kLoadedPredictionError * state.predicted + kSilenceTime;
  const bool is_idle = state.backlog == Duration::zero();
  if (IsSilent(state.target_quiet, state.waited)) {
    // An engine in a long prefill shows nothing for a while.
    const bool may_be_prefilling =
        !is_idle && state.target_quiet < kSilenceTime;
    return state.waited > expected + std::max(kSilenceTime, state.ideal_time) +
                              state.backlog ||
           (IsLastMoment(state) && !may_be_prefilling);
  }
  if (IsSilent(state.helper_quiet, state.waited)) {
    // A helper without other work shows nothing even if it is sound.
    return state.waited > late + state.backlog ||
           (IsLastMoment(state) && is_idle &&
            state.waited > expected + kSilenceTime);
  }
  return IsLastMoment(state) && is_idle && state.waited > late;
}

}  // namespace

bool IsSilent(Duration quiet, Duration waited) {
  return quiet >= std::min(waited, kSilenceTime);
}

OverdueDecision DecideOverdue(const AttemptState& state) {
  OverdueDecision decision;
  decision.is_overdue =
      state.waited >= kPredictionError * state.predicted + kMinOverdueMargin;
  decision.should_leave = decision.is_overdue &&
                          state.check_delay <= kMaxCheckDelay &&
                          ShouldLeave(state);
  return decision;
}

bool CanFinishInTime(const AttemptState& state, Duration predicted) {
  const auto reserve = std::chrono::duration_cast<Duration>(
      kSecondAttemptReserve * std::chrono::duration<double>(predicted));
  return predicted + reserve < GetTimeLeft(state);
}

}  // namespace kingcupdrift
