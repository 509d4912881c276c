#include "kingcupdrift/forwarding/internal/crash_monitor.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/work_key.h"

namespace kingcupdrift {

void CrashMonitor::OnInterrupted(const EngineAddress& engine,
                                 const std::vector<WorkKey>& keys) {
  const MonotonicTime now = clock_.Now();
  std::erase_if(interrupted_, [now](const auto& it) {
    return now - it.second.back().time > kMatchTime;
  });
  interrupted_[engine.id].push_back({now, keys});
  if (health_.IsDown(engine.id)) {
    ReportCrash(engine);
  }
}

void CrashMonitor::OnEngineDown(const EngineAddress& engine) {
  if (interrupted_.contains(engine.id)) {
    ReportCrash(engine);
  }
}

void CrashMonitor::ReportCrash(const EngineAddress& engine) {
  EngineCrash crash{engine.id, engine.incarnation, Duration::zero(), {}};
  std::map<WorkKey, std::size_t> positions;
  for (const Interrupted& it : interrupted_[engine.id]) {
    if (clock_.Now() - it.time > kMatchTime) {
      continue;
    }
    for (std::size_t i = 0; i < it.keys.size(); ++i) {
      std::size_t& position = positions[it.keys[i]];
      position = std::max(position, i);
    }
  }
  interrupted_.erase(engine.id);
  if (positions.empty()) {
    return;
  }
  for (const auto& [key, position] : positions) {
    crash.suspects.push_back({key, position});
  }
  // The most specific ones stay if there are too many.
  std::stable_partition(
      crash.suspects.begin(), crash.suspects.end(),
      [](const SuspectWork& it) { return IsRequestKey(it.key); });
  if (crash.suspects.size() > WorkQuarantine::kMaxSuspects) {
    crash.suspects.resize(WorkQuarantine::kMaxSuspects);
  }
  CrashEvidence evidence;
  evidence.successes = quarantine_.AddCrash(crash);
  evidence.crashes.push_back(std::move(crash));
  listener_(evidence);
  LogChanges();
}

void CrashMonitor::OnEngineAnswered(const EngineAddress& engine,
                                    MonotonicTime opened_at) {
  const Duration age = clock_.Now() - opened_at;
  if (quarantine_.AddSurvival(engine.id, engine.incarnation, age)) {
    listener_({{}, {}, {{engine.id, engine.incarnation, age}}});
    LogChanges();
  }
}

void CrashMonitor::OnAnswered(const std::vector<WorkKey>& keys) {
  CrashEvidence evidence;
  evidence.successes = quarantine_.AddSuccess(keys, Duration::zero());
  if (!evidence.empty()) {
    listener_(evidence);
    LogChanges();
  }
}

void CrashMonitor::Apply(const CrashEvidence& evidence) {
  // One success for each key, also if it is a suspect of many crashes.
  std::map<WorkKey, WorkSuccess> known_successes;
  for (const EngineCrash& it : evidence.crashes) {
    for (const WorkSuccess& success : quarantine_.AddCrash(it)) {
      if (known_successes.size() < WorkQuarantine::kMaxSuspects) {
        known_successes.emplace(success.key, success);
      }
    }
  }
  for (const WorkSuccess& it : evidence.successes) {
    quarantine_.AddSuccess({it.key}, it.age);
  }
  for (const EngineSurvival& it : evidence.survivals) {
    quarantine_.AddSurvival(it.engine, it.incarnation, it.age);
  }
  CrashEvidence known;
  for (const EngineCrash& it : evidence.crashes) {
    if (const auto survival = quarantine_.FindSurvival(it)) {
      known.survivals.push_back(*survival);
    }
  }
  for (const auto& [key, success] : known_successes) {
    known.successes.push_back(success);
  }
  if (!known.empty()) {
    listener_(known);
  }
  LogChanges();
}

CrashEvidence CrashMonitor::ListEvidence(Duration max_age) const {
  return {quarantine_.ListCrashes(max_age), {}, {}};
}

std::vector<WorkKey> CrashMonitor::ListQuarantined() const {
  std::vector<WorkKey> keys;
  for (const auto& [key, crashes] : quarantine_.ListQuarantined()) {
    keys.push_back(key);
  }
  return keys;
}

void CrashMonitor::ApplyRecord(const WorkKey& key, bool is_present) {
  if (is_present) {
    quarantine_.AddRecord(key);
  } else {
    quarantine_.RemoveRecord(key);
  }
  LogChanges();
}

void CrashMonitor::LogChanges() {
  std::map<WorkKey, int> now = quarantine_.ListQuarantined();
  for (const auto& [key, crashes] : now) {
    if (!logged_.contains(key)) {
      LogQuarantine(key, crashes, "held back");
    }
  }
  for (const auto& [key, crashes] : logged_) {
    if (!now.contains(key)) {
      LogQuarantine(key, crashes, "released");
    }
  }
  logged_ = std::move(now);
}

void CrashMonitor::LogQuarantine(const WorkKey& key,
                                 int crashes,
                                 std::string_view state) {
  log_.Add("forward", "quarantine")
      .Text(IsRequestKey(key) ? "work" : "part", key.value())
      .Text("state", state)
      .Number("crashes", crashes);
}

}  // namespace kingcupdrift
