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
  UpdateColdParts();
}

std::size_t TargetRateLimiter::GetRank(const EngineId& engine) const {
  const auto hash = [&engine](const InstanceId& entry) {
    return FastHash(entry.value() + "/" + engine.value());
  };
  const auto own = hash(own_);
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [&](const InstanceId& it) { return hash(it) > own; }));
}

bool TargetRateLimiter::IsMember() const {
  return std::binary_search(entries_.begin(), entries_.end(), own_);
}

void TargetRateLimiter::DivideLimit(const EngineId& engine, Limit& limit) {
  const std::size_t senders = std::min(kSenders, entries_.size());
  const bool is_sender = IsMember() && GetRank(engine) < senders;
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
  const std::optional<Duration> named = GetNamedDelay(engine);
  if (!named) {
    return std::nullopt;
  }
  return std::max(*named, GetColdDelay(engine));
}

std::optional<Duration> TargetRateLimiter::GetNamedDelay(
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

MonotonicTime TargetRateLimiter::CountRequest(const EngineId& engine) {
  const MonotonicTime now = clock_.Now();
  if (const auto it = limits_.find(engine); it != limits_.end()) {
    it->second.allowance = std::max(0.0, GetAllowance(it->second) - 1);
    it->second.counted_at = now;
  }
  const ColdLimit* const cold = cold_targets_.FindLimit(engine);
  const auto part = cold_parts_.find(engine);
  if (cold != nullptr && part != cold_parts_.end()) {
    // Some of the times may be later than now.
    std::deque<MonotonicTime>& counted = part->second.counted;
    counted.insert(std::upper_bound(counted.begin(), counted.end(), now), now);
    // No part is larger than the quota, so earlier ones make no difference.
    while (counted.size() > cold->quota.requests) {
      counted.pop_front();
    }
  }
  return now;
}

void TargetRateLimiter::ReturnRequest(const EngineId& engine,
                                      MonotonicTime counted_at) {
  const auto part = cold_parts_.find(engine);
  if (part == cold_parts_.end()) {
    return;
  }
  std::deque<MonotonicTime>& counted = part->second.counted;
  const auto it = std::find(counted.begin(), counted.end(), counted_at);
  if (it != counted.end()) {
    counted.erase(it);
  }
}

void TargetRateLimiter::SetColdLimits(std::map<ServiceId, ColdLimit> limits) {
  cold_targets_.SetLimits(std::move(limits));
  UpdateColdParts();
}

bool TargetRateLimiter::UpdateTarget(const TargetRecord& record,
                                     bool is_restored) {
  const EngineId& id = record.address.id;
  const bool was_cold = GetColdLeft(id) > Duration::zero();
  const ColdLimit* const limit_before = cold_targets_.FindLimit(id);
  cold_targets_.UpdateRecord(record, is_restored);
  std::erase_if(cold_parts_, [this](const auto& it) {
    return !cold_targets_.IsKnown(it.first);
  });
  const auto [part, is_new] = cold_parts_.try_emplace(id);
  if (is_new || cold_targets_.FindLimit(id) != limit_before) {
    UpdateColdPart(id, part->second);
  }
  if (is_new) {
    // The engine's first senders have no predecessors and need not wait.
    part->second.counted.clear();
  }
  return !was_cold && GetColdLeft(id) > Duration::zero();
}

bool TargetRateLimiter::UpdateColdTime(const EngineAddress& target,
                                       Duration left) {
  const bool was_cold = GetColdLeft(target.id) > Duration::zero();
  cold_targets_.UpdateFromAnswer(target, left);
  return !was_cold && GetColdLeft(target.id) > Duration::zero();
}

void TargetRateLimiter::UpdateColdParts() {
  for (auto& [engine, part] : cold_parts_) {
    UpdateColdPart(engine, part);
  }
}

void TargetRateLimiter::UpdateColdPart(const EngineId& engine, ColdPart& part) {
  const ColdLimit* const limit = cold_targets_.FindLimit(engine);
  if (limit == nullptr) {
    part = ColdPart();
    return;
  }
  const std::size_t senders = std::min(limit->quota.requests, entries_.size());
  const std::size_t quota =
      IsMember() ? GetQuotaPart(limit->quota, senders, GetRank(engine)) : 0;
  const auto complete_since = cold_targets_.complete_since();
  const bool is_starting =
      !complete_since || clock_.Now() < *complete_since + limit->quota.window;
  // A quota from the start, when the other entries were not known yet, says
  // nothing about who sent the requests until now.
  const std::size_t held = is_starting ? 0 : std::min(part.quota, quota);
  part.counted.insert(part.counted.end(), quota - held,
                      clock_.Now() + kMaxNewsDelay);
  part.quota = quota;
  while (part.counted.size() > limit->quota.requests) {
    part.counted.pop_front();
  }
}

Duration TargetRateLimiter::GetColdDelay(const EngineId& engine) const {
  const Duration cold_left = cold_targets_.GetColdLeft(engine);
  const auto part = cold_parts_.find(engine);
  if (cold_left <= Duration::zero() || part == cold_parts_.end()) {
    return Duration::zero();
  }
  const auto complete_since = cold_targets_.complete_since();
  if (part->second.quota == 0 || !complete_since) {
    return cold_left;
  }
  MonotonicTime free_from = *complete_since;
  const std::deque<MonotonicTime>& counted = part->second.counted;
  if (counted.size() >= part->second.quota) {
    free_from =
        std::max(free_from, counted[counted.size() - part->second.quota]);
  }
  const Duration window = cold_targets_.FindLimit(engine)->quota.window;
  return std::clamp(free_from + window - clock_.Now(), Duration::zero(),
                    cold_left);
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
