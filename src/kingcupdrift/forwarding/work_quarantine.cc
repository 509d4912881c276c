#include "kingcupdrift/forwarding/work_quarantine.h"

#include <algorithm>
#include <tuple>

#include "kingcupdrift/forwarding/work_key.h"

namespace kingcupdrift {

std::vector<WorkSuccess> WorkQuarantine::AddCrash(const EngineCrash& crash) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime time = now - std::max(crash.age, Duration::zero());
  std::vector<WorkSuccess> known;
  if (FindSurvival(crash)) {
    return known;
  }
  const auto [it, is_new] =
      crashes_.try_emplace({crash.engine, crash.incarnation}, Crash{time, {}});
  for (const SuspectWork& suspect : crash.suspects) {
    const auto last_answer = FindLastAnswer(suspect.key);
    const bool is_cleared = last_answer && *last_answer >= it->second.time;
    const bool is_known = it->second.positions.contains(suspect.key);
    if (last_answer && !is_known) {
      known.push_back({suspect.key, now - *last_answer});
    }
    if (!is_cleared && it->second.positions.size() < kMaxSuspects) {
      it->second.positions.emplace(suspect.key, suspect.position);
    }
  }
  DropOldCrashes();
  AssignBlame();
  return known;
}

bool WorkQuarantine::AddSurvival(const EngineId& engine,
                                 Incarnation incarnation,
                                 Duration age) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime time = now - std::max(age, Duration::zero());
  std::erase_if(survivals_, [now](const auto& it) {
    return now - it.second > kSurvivalMemory;
  });
  const auto crash = crashes_.find({engine, incarnation});
  if (crash == crashes_.end() || time < crash->second.time) {
    return false;
  }
  crashes_.erase(crash);
  MonotonicTime& last = survivals_[{engine, incarnation}];
  last = std::max(last, time);
  AssignBlame();
  return true;
}

std::optional<EngineSurvival> WorkQuarantine::FindSurvival(
    const EngineCrash& crash) const {
  const auto it = survivals_.find({crash.engine, crash.incarnation});
  if (it == survivals_.end()) {
    return std::nullopt;
  }
  const Duration age = clock_.Now() - it->second;
  if (crash.age < age) {
    return std::nullopt;
  }
  return EngineSurvival{crash.engine, crash.incarnation, age};
}

std::vector<WorkSuccess> WorkQuarantine::AddSuccess(
    const std::vector<WorkKey>& keys,
    Duration age) {
  const MonotonicTime time = clock_.Now() - std::max(age, Duration::zero());
  std::vector<WorkSuccess> cleared;
  for (const WorkKey& key : keys) {
    AnsweredOfKind(key).Remember(key, time);
    bool was_suspect = recorded_.erase(key) > 0;
    for (auto& [engine, crash] : crashes_) {
      was_suspect |= crash.time <= time && crash.positions.erase(key) > 0;
    }
    if (was_suspect) {
      cleared.push_back({key, age});
    }
  }
  if (!cleared.empty()) {
    DropOldCrashes();
    AssignBlame();
  }
  return cleared;
}

void WorkQuarantine::AddRecord(const WorkKey& key) {
  recorded_[key] = clock_.Now() + kQuarantineTime;
  AssignBlame();
}

Duration WorkQuarantine::GetTimeLeft(const std::vector<WorkKey>& keys) const {
  Duration left{0};
  if (quarantined_.empty() && recorded_.empty()) {
    return left;
  }
  const MonotonicTime now = clock_.Now();
  for (const WorkKey& key : keys) {
    const auto found = quarantined_.find(key);
    if (found != quarantined_.end()) {
      left = std::max(left, found->second.until - now);
    }
    const auto recorded = recorded_.find(key);
    if (recorded != recorded_.end()) {
      left = std::max(left, recorded->second - now);
    }
  }
  return left;
}

std::map<WorkKey, int> WorkQuarantine::ListQuarantined() const {
  std::map<WorkKey, int> keys;
  for (const auto& [key, until] : recorded_) {
    if (until > clock_.Now()) {
      keys[key] = 0;
    }
  }
  for (const auto& [key, it] : quarantined_) {
    if (it.until > clock_.Now()) {
      keys[key] = it.crashes;
    }
  }
  return keys;
}

std::vector<EngineCrash> WorkQuarantine::ListCrashes(Duration max_age) const {
  std::vector<EngineCrash> listed;
  for (const auto& [engine, crash] : crashes_) {
    const Duration age = clock_.Now() - crash.time;
    if (age > max_age || crash.positions.empty()) {
      continue;
    }
    EngineCrash out{engine.first, engine.second, age, {}};
    for (const auto& [key, position] : crash.positions) {
      out.suspects.push_back({key, position});
    }
    listed.push_back(std::move(out));
  }
  return listed;
}

AnsweredWork& WorkQuarantine::AnsweredOfKind(const WorkKey& key) {
  return IsRequestKey(key) ? answered_requests_ : answered_parts_;
}

std::optional<MonotonicTime> WorkQuarantine::FindLastAnswer(
    const WorkKey& key) const {
  return (IsRequestKey(key) ? answered_requests_ : answered_parts_)
      .FindLastAnswer(key);
}

void WorkQuarantine::DropOldCrashes() {
  const MonotonicTime now = clock_.Now();
  std::erase_if(crashes_, [now](const auto& it) {
    return it.second.positions.empty() ||
           now - it.second.time >= kQuarantineTime;
  });
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.time < b.second.time;
                                    }));
  }
}

WorkQuarantine::Blames WorkQuarantine::CountUnexplained(
    const std::set<WorkKey>& undecided) const {
  Blames blames;
  for (const auto& [engine, crash] : crashes_) {
    const bool is_explained = std::any_of(
        crash.positions.begin(), crash.positions.end(), [&](const auto& it) {
          return quarantined_.contains(it.first) ||
                 recorded_.contains(it.first) || undecided.contains(it.first);
        });
    if (is_explained) {
      continue;
    }
    for (const auto& [key, position] : crash.positions) {
      Blame& blame = blames[key];
      ++blame.crashes;
      blame.position = std::max(blame.position, position);
      blame.last_crash = std::max(blame.last_crash, crash.time);
    }
  }
  for (auto& [key, blame] : blames) {
    blame.is_request = IsRequestKey(key);
    blame.was_answered = FindLastAnswer(key).has_value();
  }
  return blames;
}

bool WorkQuarantine::IsSufficient(const WorkKey& key,
                                  const Blame& blame) const {
  const auto last_answer = FindLastAnswer(key);
  if (!last_answer) {
    return blame.crashes >= kMinCrashes;
  }
  return blame.crashes >= kMinCrashesInDoubt &&
         blame.last_crash - *last_answer >= kAnsweredGrace;
}

bool WorkQuarantine::IsMoreLikely(const Blame& a, const Blame& b) {
  const auto rank = [](const Blame& it) {
    const int lead = it.is_request ? kRequestLead : 0;
    // Positions of requests depend on the lengths of their prompts.
    return std::tuple(!it.was_answered, it.crashes + lead, it.is_request,
                      it.is_request ? 0 : it.position);
  };
  return rank(a) > rank(b);
}

std::vector<WorkKey> WorkQuarantine::FindMostLikely(
    const Blames& blames) const {
  std::vector<WorkKey> keys;
  const Blame* best = nullptr;
  for (const auto& [key, blame] : blames) {
    if (!IsSufficient(key, blame)) {
      continue;
    }
    if (best == nullptr || IsMoreLikely(blame, *best)) {
      keys = {key};
      best = &blame;
    } else if (blame.is_request && !IsMoreLikely(*best, blame)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void WorkQuarantine::AssignBlame() {
  // Assigned anew each time, since a later crash or success may shift it.
  quarantined_.clear();
  std::set<WorkKey> undecided;
  while (true) {
    const Blames blames = CountUnexplained(undecided);
    const std::vector<WorkKey> keys = FindMostLikely(blames);
    if (keys.empty()) {
      return;
    }
    if (keys.size() > 1 &&
        blames.at(keys.front()).crashes < kMinCrashesInDoubt) {
      undecided.insert(keys.begin(), keys.end());
      continue;
    }
    // If this is the wrong one of several, the next crash shows it.
    const Blame& blame = blames.at(keys.front());
    quarantined_[keys.front()] = {blame.last_crash + kQuarantineTime,
                                  blame.crashes};
  }
}

}  // namespace kingcupdrift
