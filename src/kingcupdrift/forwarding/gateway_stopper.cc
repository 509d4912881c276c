#include "kingcupdrift/forwarding/gateway_stopper.h"

#include <utility>

namespace kingcupdrift {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Time to send the last calls to the store, and the interval of the checks
/// that follow.
constexpr Duration kLastCallsTime = std::chrono::milliseconds(50);

}  // namespace

GatewayStopper::GatewayStopper(Clock& clock,
                               Gateway& gateway,
                               Duration limit,
                               std::function<std::size_t()> count_unsent,
                               std::function<void()> on_done)
    : clock_(clock),
      gateway_(gateway),
      limit_(limit),
      count_unsent_(std::move(count_unsent)),
      on_done_(std::move(on_done)) {}

void GatewayStopper::Begin() {
  if (timer_) {
    return;
  }
  began_at_ = clock_.Now();
  gateway_.StartDraining(limit_ - GetAnswerTime(limit_));
  Check();
}

void GatewayStopper::Check() {
  const bool is_over = GetElapsed() >= limit_ - GetAnswerTime(limit_);
  if (is_over || (IsIdle() && GetElapsed() >= kMinTime)) {
    EndRequests();
    return;
  }
  timer_ = clock_.RunAfter(kCheckInterval, [this] { Check(); });
}

void GatewayStopper::EndRequests() {
  gateway_.Deregister();
  gateway_.EndRequests();
  timer_ = clock_.RunAfter(kLastCallsTime, [this] { CheckAnswers(); });
}

void GatewayStopper::CheckAnswers() {
  if (IsIdle() || GetElapsed() >= limit_ - GetExitMargin(limit_)) {
    on_done_();
    return;
  }
  timer_ = clock_.RunAfter(kLastCallsTime, [this] { CheckAnswers(); });
}

bool GatewayStopper::IsIdle() const {
  return gateway_.CountRequestsInProgress() == 0 && count_unsent_() == 0;
}

}  // namespace kingcupdrift
