#include "kingcupdrift/forwarding/prompt_part_quarantine.h"

#include <algorithm>
#include <tuple>

namespace kingcupdrift {

std::vector<PromptPartSuccess> PromptPartQuarantine::AddCrash(
    const EngineCrash& crash) {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime time = now - std::max(crash.age, Duration::zero());
  std::vector<PromptPartSuccess> known;
  const auto [it, is_new] =
      crashes_.try_emplace({crash.engine, crash.incarnation}, Crash{time, {}});
  for (const SuspectPart& suspect : crash.suspects) {
    const auto last_answer = FindLastAnswer(suspect.part);
    const bool is_cleared = last_answer && *last_answer >= it->second.time;
    const bool is_known = it->second.positions.contains(suspect.part);
    if (last_answer && !is_known) {
      known.push_back({suspect.part, now - *last_answer});
    }
    if (!is_cleared && it->second.positions.size() < kMaxSuspects) {
      it->second.positions.emplace(suspect.part, suspect.position);
    }
  }
  DropOldCrashes();
  AssignBlame();
  return known;
}

std::vector<PromptPartSuccess> PromptPartQuarantine::AddSuccess(
    const std::vector<PromptPartId>& parts,
    Duration age) {
  const MonotonicTime time = clock_.Now() - std::max(age, Duration::zero());
  std::vector<PromptPartSuccess> cleared;
  for (const PromptPartId& part : parts) {
    RememberAnswer(part, time);
    bool was_suspect = recorded_.erase(part) > 0;
    for (auto& [engine, crash] : crashes_) {
      was_suspect |= crash.time <= time && crash.positions.erase(part) > 0;
    }
    if (was_suspect) {
      cleared.push_back({part, age});
    }
  }
  if (!cleared.empty()) {
    DropOldCrashes();
    AssignBlame();
  }
  return cleared;
}

void PromptPartQuarantine::AddRecord(const PromptPartId& part) {
  recorded_[part] = clock_.Now() + kQuarantineTime;
  AssignBlame();
}

Duration PromptPartQuarantine::GetTimeLeft(
    const std::vector<PromptPartId>& parts) const {
  Duration left{0};
  if (quarantined_.empty() && recorded_.empty()) {
    return left;
  }
  const MonotonicTime now = clock_.Now();
  for (const PromptPartId& part : parts) {
    const auto found = quarantined_.find(part);
    if (found != quarantined_.end()) {
      left = std::max(left, found->second.until - now);
    }
    const auto recorded = recorded_.find(part);
    if (recorded != recorded_.end()) {
      left = std::max(left, recorded->second - now);
    }
  }
  return left;
}

std::map<PromptPartId, int> PromptPartQuarantine::ListQuarantined() const {
  std::map<PromptPartId, int> parts;
  for (const auto& [part, until] : recorded_) {
    if (until > clock_.Now()) {
      parts[part] = 0;
    }
  }
  for (const auto& [part, it] : quarantined_) {
    if (it.until > clock_.Now()) {
      parts[part] = it.crashes;
    }
  }
  return parts;
}

std::vector<EngineCrash> PromptPartQuarantine::ListCrashes(
    Duration max_age) const {
  std::vector<EngineCrash> listed;
  for (const auto& [engine, crash] : crashes_) {
    const Duration age = clock_.Now() - crash.time;
    if (age > max_age || crash.positions.empty()) {
      continue;
    }
    EngineCrash out{engine.first, engine.second, age, {}};
    for (const auto& [part, position] : crash.positions) {
      out.suspects.push_back({part, position});
    }
    listed.push_back(std::move(out));
  }
  return listed;
}

std::optional<MonotonicTime> PromptPartQuarantine::FindLastAnswer(
    const PromptPartId& part) const {
  const auto it = answered_index_.find(part);
  if (it == answered_index_.end()) {
    return std::nullopt;
  }
  return it->second->last_answer;
}

void PromptPartQuarantine::RememberAnswer(const PromptPartId& part,
                                          MonotonicTime time) {
  const auto known = answered_index_.find(part);
  if (known != answered_index_.end()) {
    AnsweredPart& answered = *known->second;
    answered.last_answer = std::max(answered.last_answer, time);
    answered_.splice(answered_.begin(), answered_, known->second);
    return;
  }
  if (answered_.size() >= kMaxAnsweredParts) {
    answered_index_.erase(answered_.back().part);
    answered_.pop_back();
  }
  answered_.push_front({part, time});
  answered_index_[part] = answered_.begin();
}

void PromptPartQuarantine::DropOldCrashes() {
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

std::map<PromptPartId, PromptPartQuarantine::Blame>
PromptPartQuarantine::CountUnexplained() const {
  std::map<PromptPartId, Blame> blames;
  for (const auto& [engine, crash] : crashes_) {
    const bool is_explained = std::any_of(
        crash.positions.begin(), crash.positions.end(), [this](const auto& it) {
          return quarantined_.contains(it.first) ||
                 recorded_.contains(it.first);
        });
    if (is_explained) {
      continue;
    }
    for (const auto& [part, position] : crash.positions) {
      Blame& blame = blames[part];
      ++blame.crashes;
      blame.position = std::max(blame.position, position);
      blame.last_crash = std::max(blame.last_crash, crash.time);
    }
  }
  for (auto& [part, blame] : blames) {
    blame.was_answered = FindLastAnswer(part).has_value();
  }
  return blames;
}

bool PromptPartQuarantine::IsSufficient(const PromptPartId& part,
                                        const Blame& blame) const {
  const auto last_answer = FindLastAnswer(part);
  if (!last_answer) {
    return blame.crashes >= kMinCrashes;
  }
  return blame.crashes >= kMinCrashesOfAnsweredPart &&
         clock_.Now() - *last_answer >= kAnsweredPartGrace;
}

bool PromptPartQuarantine::IsMoreLikely(const Blame& a, const Blame& b) {
  return std::tuple(!a.was_answered, a.crashes, a.position) >
         std::tuple(!b.was_answered, b.crashes, b.position);
}

void PromptPartQuarantine::AssignBlame() {
  // Assigned anew each time, since a later crash or success may shift it.
  quarantined_.clear();
  while (true) {
    std::optional<std::pair<PromptPartId, Blame>> best;
    for (const auto& it : CountUnexplained()) {
      if (IsSufficient(it.first, it.second) &&
          (!best || IsMoreLikely(it.second, best->second))) {
        best = it;
      }
    }
    if (!best) {
      return;
    }
    quarantined_[best->first] = {best->second.last_crash + kQuarantineTime,
                                 best->second.crashes};
  }
}

}  // namespace kingcupdrift
