#include "kingcupdrift/forwarding/target_rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace kingcupdrift {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

bool TargetRateLimiter::Update(const EngineLimit& limit) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime said_at = now - std::max(limit.age, Duration::zero());
  const auto it = limits_.find(limit.engine);
  if (it == limits_.end() && !limit.requests_per_second) {
    return false;
  }
  if (it != limits_.end() && (limit.incarnation < it->second.incarnation ||
                              (limit.incarnation == it->second.incarnation &&
                               said_at < it->second.said_at))) {
    return false;
  }
  DropOldLimits();
  const bool is_new = !limits_.contains(limit.engine);
  Limit& known = limits_[limit.engine];
  const bool has_changed =
      is_new || known.incarnation != limit.incarnation ||
      known.requests_per_second != limit.requests_per_second;
  known.incarnation = limit.incarnation;
  known.said_at = said_at;
  if (has_changed) {
    known.allowance = is_new ? 0 : GetAllowance(known);
    known.counted_at = now;
    known.requests_per_second = limit.requests_per_second;
    DivideLimit(limit.engine, known);
  }
  const bool should_tell = has_changed || now - known.told_at >= kTellInterval;
  if (should_tell) {
    known.told_at = now;
  }
  return should_tell;
}

void TargetRateLimiter::Forget(const EngineId& engine) {
  limits_.erase(engine);
}

void TargetRateLimiter::SetEntries(std::vector<InstanceId> entries) {
  std::sort(entries.begin(), entries.end());
  if (entries == entries_) {
    return;
  }
  entries_ = std::move(entries);
  for (auto& [engine, limit] : limits_) {
    limit.allowance = GetAllowance(limit);
    limit.counted_at = clock_.Now();
    DivideLimit(engine, limit);
  }
}

void TargetRateLimiter::DivideLimit(const EngineId& engine, Limit& limit) {
  const std::size_t senders = std::min(kSenders, entries_.size());
  const auto rank = [&engine](const InstanceId& entry) {
    return FastHash(entry.value() + "/" + engine.value());
  };
  const auto ahead = static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const InstanceId& it) { return rank(it) > rank(own_); }));
  // Entries in reserve and draining ones are not among them.
  const bool is_member =
      std::binary_search(entries_.begin(), entries_.end(), own_);
  const bool is_sender = is_member && ahead < senders;
  limit.own_rate = is_sender ? std::max(limit.requests_per_second.value_or(0),
                                        kMinRequestsPerSecond) /
                                   static_cast<double>(senders)
                             : 0;
  if (!is_sender) {
    limit.allowance = 0;
  }
}

bool TargetRateLimiter::IsInForce(const Limit& limit) const {
  return limit.requests_per_second &&
         clock_.Now() - limit.said_at < kLimitLifetime;
}

double TargetRateLimiter::GetAllowance(const Limit& limit) const {
  const double seconds = Seconds(clock_.Now() - limit.counted_at).count();
  return std::min(1.0, limit.allowance + seconds * limit.own_rate);
}

std::optional<Duration> TargetRateLimiter::GetDelay(
    const EngineId& engine) const {
  const auto it = limits_.find(engine);
  if (it == limits_.end() || !IsInForce(it->second)) {
    return Duration::zero();
  }
  if (it->second.own_rate <= 0) {
    return std::nullopt;
  }
  const double missing = 1 - GetAllowance(it->second);
  if (missing <= 0) {
    return Duration::zero();
  }
  // Rounded up, so that the request may be sent after the delay.
  const double us = missing / it->second.own_rate * Duration::period::den;
  return Duration(static_cast<Duration::rep>(std::ceil(us)));
}

void TargetRateLimiter::CountRequest(const EngineId& engine) {
  const auto it = limits_.find(engine);
  if (it == limits_.end()) {
    return;
  }
  it->second.allowance = std::max(0.0, GetAllowance(it->second) - 1);
  it->second.counted_at = clock_.Now();
}

std::size_t TargetRateLimiter::CountLimited() const {
  return static_cast<std::size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [this](const auto& it) { return IsInForce(it.second); }));
}

std::vector<EngineLimit> TargetRateLimiter::List() const {
  std::vector<EngineLimit> listed;
  for (const auto& [engine, limit] : limits_) {
    if (IsInForce(limit)) {
      listed.push_back({engine, limit.incarnation, limit.requests_per_second,
                        clock_.Now() - limit.said_at});
    }
  }
  return listed;
}

void TargetRateLimiter::DropOldLimits() {
  std::erase_if(limits_, [this](const auto& it) {
    return clock_.Now() - it.second.said_at >= kLimitLifetime;
  });
}

}  // namespace kingcupdrift
