#include "kingcupdrift/routing/internal/engine_state.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Weight of the newest sample in learned values.
constexpr double kSmoothing = 0.2;
/// Least prompt length, in tokens, from which a prefill rate is learned.
constexpr double kMinRateSample = 500;

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

void Smooth(double& value, double sample) {
  value = value == 0 ? sample : value + kSmoothing * (sample - value);
}

}  // namespace

EngineState::EngineState(EngineConfig config) : config_(std::move(config)) {}

void EngineState::OnReport(MonotonicTime now, const EngineReport& report) {
  failed_reports_ = 0;
  if (has_report_ && report.sequence < report_.sequence &&
      now - report.age < report_time_) {
    return;
  }
  const MonotonicTime measured_at = now - report.age;
  if (has_report_ && measured_at > report_time_) {
    Smooth(report_gap_us_,
           static_cast<double>((measured_at - report_time_).count()));
  }
  report_ = report;
  has_report_ = true;
  report_time_ = measured_at;
  if (report.prefill_rate > 0) {
    Smooth(prefill_rate_, report.prefill_rate);
  }
  reported_attempts_ = report.counted_attempts;
  std::sort(reported_attempts_.begin(), reported_attempts_.end());
  report_.counted_attempts.clear();
  DropReportedRemoteAttempts();
  double local_tokens = 0;
  double local_requests = 0;
  unreported_memory_ = 0;
  for (LocalAttempt* attempt : local_attempts_) {
    attempt->is_in_report = IsInReport(attempt->id);
    if (!attempt->is_in_report) {
      unreported_memory_ += attempt->memory.front().tokens;
    } else if (!attempt->has_first_token) {
      local_tokens += attempt->uncached;
      local_requests += 1;
    }
  }
  remote_waiting_tokens_ =
      std::max(0.0, static_cast<double>(report.waiting_prefill_tokens.value()) -
                        local_tokens);
  remote_waiting_requests_ = std::max(
      0.0, static_cast<double>(report.waiting_requests) - local_requests);
}

bool EngineState::IsInReport(const AttemptId& attempt) const {
  return std::binary_search(reported_attempts_.begin(),
                            reported_attempts_.end(), attempt);
}

void EngineState::AddRemoteAttempt(MonotonicTime now,
                                   const DispatchNote& note) {
  if (IsInReport(note.attempt)) {
    return;
  }
  const auto known = std::find_if(
      remote_attempts_.begin(), remote_attempts_.end(),
      [&](const RemoteAttempt& item) { return item.attempt == note.attempt; });
  if (known != remote_attempts_.end()) {
    return;
  }
  if (remote_attempts_.size() == kMaxRemoteAttempts) {
    remote_attempts_.erase(remote_attempts_.begin());
  }
  remote_attempts_.push_back({note.attempt, note.engine_priority,
                              static_cast<double>(note.prefill.value()),
                              static_cast<double>(note.memory.value()), now});
}

void EngineState::DropReportedRemoteAttempts() {
  std::erase_if(remote_attempts_, [&](const RemoteAttempt& item) {
    return item.received + kRemoteAttemptGracePeriod < report_time_ ||
           IsInReport(item.attempt);
  });
}

void EngineState::Add(LocalAttempt* attempt) {
  local_attempts_.push_back(attempt);
}

void EngineState::Remove(const LocalAttempt* attempt) {
  std::erase(local_attempts_, attempt);
}

void EngineState::RemoveMemoryUse(double tokens) {
  unreported_memory_ = std::max(0.0, unreported_memory_ - tokens);
}

void EngineState::ObservePrefill(double tokens, Duration time) {
  const double seconds = ToSeconds(time) - StepSeconds();
  if (tokens >= kMinRateSample && seconds > 0) {
    Smooth(prefill_rate_, tokens / seconds);
  }
}

void EngineState::ObserveCached(double expected, double actual) {
  if (expected > 0) {
    const double ratio = std::clamp(actual / expected, 0.0, 1.0);
    cache_prediction_accuracy_ +=
        kSmoothing * (ratio - cache_prediction_accuracy_);
  }
}

Duration EngineState::ComputeExcessStaleness(MonotonicTime now) const {
  if (!has_report_) {
    return Duration::zero();
  }
  const Duration scaled_limit(
      static_cast<Duration::rep>(kReportGapsToStale * report_gap_us_));
  const Duration limit = std::max(kMinStalenessLimit, scaled_limit);
  return std::clamp(now - report_time_ - limit, Duration::zero(),
                    kMaxExcessStaleness);
}

double EngineState::DrainedTokens(MonotonicTime now) const {
  return has_report_ ? ToSeconds(now - report_time_) * PrefillRate() : 0;
}

BacklogSplit EngineState::SplitBacklog(MonotonicTime now,
                                       int priority,
                                       double share_ahead) const {
  double ahead = remote_waiting_tokens_ * share_ahead;
  double behind = remote_waiting_tokens_ - ahead;
  double requests_behind = remote_waiting_requests_ * (1 - share_ahead);
  for (const LocalAttempt* attempt : local_attempts_) {
    if (attempt->has_first_token) {
      continue;
    }
    if (attempt->priority >= priority) {
      ahead += attempt->uncached;
    } else {
      behind += attempt->uncached;
      requests_behind += 1;
    }
  }
  for (const RemoteAttempt& item : remote_attempts_) {
    if (item.priority >= priority) {
      ahead += item.prefill;
    } else {
      behind += item.prefill;
      requests_behind += 1;
    }
  }
  // The engine prefills the work ahead first.
  const double drained = DrainedTokens(now);
  const double drained_behind = std::max(0.0, drained - ahead);
  return {std::max(0.0, ahead - drained),
          std::max(0.0, behind - drained_behind), requests_behind};
}

double EngineState::Backlog(MonotonicTime now) const {
  const BacklogSplit backlog = SplitBacklog(now, 0, 1);
  return backlog.tokens_ahead + backlog.tokens_behind;
}

std::uint32_t EngineState::InFlight() const {
  auto n = report_.running_streams + report_.waiting_requests;
  for (const LocalAttempt* attempt : local_attempts_) {
    n += attempt->is_in_report ? 0 : 1;
  }
  return n + static_cast<std::uint32_t>(remote_attempts_.size());
}

double EngineState::FreeMemory() const {
  if (!has_report_ && config_.memory.value() == 0) {
    // The memory is unknown: assume that a first request fits.
    return 1e9;
  }
  const auto reported = static_cast<double>(
      has_report_ ? report_.free_memory.value() : config_.memory.value());
  double remote_memory = 0;
  for (const RemoteAttempt& item : remote_attempts_) {
    remote_memory += item.memory;
  }
  return std::max(0.0, reported - unreported_memory_ - remote_memory);
}

double EngineState::TotalMemory() const {
  if (has_report_ && report_.total_memory.value() > 0) {
    return static_cast<double>(report_.total_memory.value());
  }
  return config_.memory.value() > 0
             ? static_cast<double>(config_.memory.value())
             : 1e9;
}

double EngineState::PrefillRate() const {
  return prefill_rate_ > 0 ? prefill_rate_ : kDefaultPrefillRate;
}

double EngineState::StepSeconds() const {
  return report_.decode_rate > 0 ? 1 / report_.decode_rate
                                 : kDefaultStepSeconds;
}

}  // namespace kingcupdrift
