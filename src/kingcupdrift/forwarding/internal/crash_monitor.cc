#include "kingcupdrift/forwarding/internal/crash_monitor.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

void CrashMonitor::OnInterrupted(const EngineAddress& engine,
                                 const std::vector<PromptPartId>& parts) {
  if (parts.empty()) {
    return;
  }
  const MonotonicTime now = clock_.Now();
  std::erase_if(interrupted_, [now](const auto& it) {
    return now - it.second.back().time > kMatchTime;
  });
  interrupted_[engine.id].push_back({now, parts});
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
  std::map<PromptPartId, std::size_t> positions;
  for (const Interrupted& it : interrupted_[engine.id]) {
    if (clock_.Now() - it.time > kMatchTime) {
      continue;
    }
    for (std::size_t i = 0; i < it.parts.size(); ++i) {
      std::size_t& position = positions[it.parts[i]];
      position = std::max(position, i);
    }
  }
  interrupted_.erase(engine.id);
  if (positions.empty()) {
    return;
  }
  for (const auto& [part, position] : positions) {
    if (crash.suspects.size() < PromptPartQuarantine::kMaxSuspects) {
      crash.suspects.push_back({part, position});
    }
  }
  CrashEvidence evidence;
  evidence.successes = quarantine_.AddCrash(crash);
  evidence.crashes.push_back(std::move(crash));
  listener_(evidence);
  LogChanges();
}

void CrashMonitor::OnAnswered(const std::vector<PromptPartId>& parts) {
  CrashEvidence evidence;
  evidence.successes = quarantine_.AddSuccess(parts, Duration::zero());
  if (!evidence.empty()) {
    listener_(evidence);
    LogChanges();
  }
}

void CrashMonitor::Apply(const CrashEvidence& evidence) {
  // One success for each part, also if it is a suspect of many crashes.
  std::map<PromptPartId, PromptPartSuccess> known_successes;
  for (const EngineCrash& it : evidence.crashes) {
    for (const PromptPartSuccess& success : quarantine_.AddCrash(it)) {
      if (known_successes.size() < PromptPartQuarantine::kMaxSuspects) {
        known_successes.emplace(success.part, success);
      }
    }
  }
  for (const PromptPartSuccess& it : evidence.successes) {
    quarantine_.AddSuccess({it.part}, it.age);
  }
  CrashEvidence known;
  for (const auto& [part, success] : known_successes) {
    known.successes.push_back(success);
  }
  if (!known.empty()) {
    listener_(known);
  }
  LogChanges();
}

CrashEvidence CrashMonitor::ListEvidence(Duration max_age) const {
  return {quarantine_.ListCrashes(max_age), {}};
}

std::vector<PromptPartId> CrashMonitor::ListQuarantined() const {
  std::vector<PromptPartId> parts;
  for (const auto& [part, crashes] : quarantine_.ListQuarantined()) {
    parts.push_back(part);
  }
  return parts;
}

void CrashMonitor::ApplyRecord(const PromptPartId& part, bool is_present) {
  if (is_present) {
    quarantine_.AddRecord(part);
  } else {
    quarantine_.RemoveRecord(part);
  }
  LogChanges();
}

void CrashMonitor::LogChanges() {
  std::map<PromptPartId, int> now = quarantine_.ListQuarantined();
  for (const auto& [part, crashes] : now) {
    if (!logged_.contains(part)) {
      log_.Add("forward", "quarantine")
          .Text("part", part.value())
          .Text("state", "held back")
          .Number("crashes", crashes);
    }
  }
  for (const auto& [part, crashes] : logged_) {
    if (!now.contains(part)) {
      log_.Add("forward", "quarantine")
          .Text("part", part.value())
          .Text("state", "released")
          .Number("crashes", crashes);
    }
  }
  logged_ = std::move(now);
}

}  // namespace kingcupdrift
