#include "kingcupdrift/routing/internal/engine_state.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Weight of the newest sample in learned values.
constexpr double kSmoothing = 0.2;
/// Least prompt length from which a prefill rate is learned.
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
  counted_ = report.counted_attempts;
  std::sort(counted_.begin(), counted_.end());
  report_.counted_attempts.clear();
  DropCoveredForeign();
  double own_tokens = 0;
  double own_requests = 0;
  sent_memory_ = 0;
  for (OwnAttempt* attempt : own_) {
    attempt->is_counted = IsCounted(attempt->id);
    if (!attempt->is_counted) {
      sent_memory_ += attempt->memory.front().tokens;
    } else if (!attempt->has_first_token) {
      own_tokens += attempt->uncached;
      own_requests += 1;
    }
  }
  others_tokens_ =
      std::max(0.0, static_cast<double>(report.waiting_prefill_tokens.value()) -
                        own_tokens);
  others_requests_ = std::max(
      0.0, static_cast<double>(report.waiting_requests) - own_requests);
}

bool EngineState::IsCounted(const AttemptId& attempt) const {
  return std::binary_search(counted_.begin(), counted_.end(), attempt);
}

void EngineState::AddForeign(MonotonicTime now, const DispatchNote& note) {
  if (IsCounted(note.attempt)) {
    return;
  }
  const auto known = std::find_if(
      foreign_.begin(), foreign_.end(),
      [&](const Foreign& item) { return item.attempt == note.attempt; });
  if (known != foreign_.end()) {
    return;
  }
  if (foreign_.size() == kMaxForeign) {
    foreign_.erase(foreign_.begin());
  }
  foreign_.push_back({note.attempt, note.engine_priority,
                      static_cast<double>(note.prefill.value()),
                      static_cast<double>(note.memory.value()), now});
}

void EngineState::DropCoveredForeign() {
  std::erase_if(foreign_, [&](const Foreign& item) {
    return item.received + kForeignSlack < report_time_ ||
           IsCounted(item.attempt);
  });
}

void EngineState::Add(OwnAttempt* attempt) {
  own_.push_back(attempt);
}

void EngineState::Remove(const OwnAttempt* attempt) {
  std::erase(own_, attempt);
}

void EngineState::RemoveMemory(double tokens) {
  sent_memory_ = std::max(0.0, sent_memory_ - tokens);
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
    cache_trust_ += kSmoothing * (ratio - cache_trust_);
  }
}

Duration EngineState::Doubt(MonotonicTime now) const {
  if (!has_report_) {
    return Duration::zero();
  }
  const Duration usual(
      static_cast<Duration::rep>(kGapsToDoubt * report_gap_us_));
  const Duration limit = std::max(kDoubtAfter, usual);
  return std::clamp(now - report_time_ - limit, Duration::zero(), kMaxDoubt);
}

double EngineState::DrainedTokens(MonotonicTime now) const {
  return has_report_ ? ToSeconds(now - report_time_) * PrefillRate() : 0;
}

WorkAhead EngineState::Split(MonotonicTime now,
                             int priority,
                             double share_ahead) const {
  double ahead = others_tokens_ * share_ahead;
  double behind = others_tokens_ - ahead;
  double requests_behind = others_requests_ * (1 - share_ahead);
  for (const OwnAttempt* attempt : own_) {
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
  for (const Foreign& item : foreign_) {
    if (item.priority >= priority) {
      ahead += item.prefill;
    } else {
      behind += item.prefill;
      requests_behind += 1;
    }
  }
  // Work ahead drains first.
  const double drained = DrainedTokens(now);
  const double rest = std::max(0.0, drained - ahead);
  return {std::max(0.0, ahead - drained), std::max(0.0, behind - rest),
          requests_behind};
}

double EngineState::Backlog(MonotonicTime now) const {
  const WorkAhead work = Split(now, 0, 1);
  return work.tokens_ahead + work.tokens_behind;
}

std::uint32_t EngineState::InFlight() const {
  auto n = report_.running_streams + report_.waiting_requests;
  for (const OwnAttempt* attempt : own_) {
    n += attempt->is_counted ? 0 : 1;
  }
  return n + static_cast<std::uint32_t>(foreign_.size());
}

double EngineState::FreeMemory() const {
  if (!has_report_ && config_.memory.value() == 0) {
    // Nothing is known yet: do not stand in the way of a first request.
    return 1e9;
  }
  const auto reported = static_cast<double>(
      has_report_ ? report_.free_memory.value() : config_.memory.value());
  double foreign = 0;
  for (const Foreign& item : foreign_) {
    foreign += item.memory;
  }
  return std::max(0.0, reported - sent_memory_ - foreign);
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
