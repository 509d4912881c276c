#include <algorithm>

#include "kingcupdrift/forwarding/internal/forward_request.h"
#include "kingcupdrift/forwarding/internal/wait_estimate.h"

namespace kingcupdrift {

bool ForwardRequest::RefuseIfTooLate() {
  const EngineTiming* const timing = FindEngineTiming();
  const MonotonicTime now = context_.clock.Now();
  // The work ahead is known once the request waits. One that may have run keeps
  // its chance of a retry.
  if (!is_waiting_ || timing == nullptr || has_begun_ || may_have_run_ ||
      now < next_estimate_at_) {
    return false;
  }
  next_estimate_at_ = now + kEstimateInterval;
  WaitEstimateInput input;
  input.work_ahead = context_.queue.work_ahead();
  for (const TargetRecord* it : context_.directory.ListUsable(service_)) {
    input.backlog +=
        context_.work_tracker.GetEngineLoad(it->address.id).backlog;
    ++input.engines;
  }
  input.ideal_time = PromptPlacer(*timing).EstimateIdealTimeToFirstEvent(
      MakePlacementRequest());
  input.time_left = TimeLeftToFirstEvent();
  input.whole_time = route_->first_event_timeout;
  const std::optional<Duration> retry_time = FindRetryTime(input, kRetryAfter);
  if (!retry_time) {
    return false;
  }
  retry_after_ = *retry_time;
  ++context_.refused_early;
  context_.log.Add("forward", "refuse_early")
      .Text("request", call_.id.value())
      .Milliseconds("ahead", input.work_ahead)
      .Milliseconds("backlog", input.backlog)
      .Number("engines", static_cast<std::int64_t>(input.engines))
      .Milliseconds("wait", EstimateLeastWait(input))
      .Milliseconds("ideal", input.ideal_time)
      .Milliseconds("left", input.time_left)
      .Milliseconds("retry_after", retry_after_);
  AbortOrRefuse("the work ahead leaves no time for the first event");
  return true;
}

}  // namespace kingcupdrift
