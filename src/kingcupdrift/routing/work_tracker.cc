#include "kingcupdrift/routing/work_tracker.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

TokenCount CountTokensOnHelper(const WorkNote& note, const EngineId& helper) {
  for (std::size_t i = 0; i < note.held.size(); ++i) {
    if (note.helpers[i] == helper) {
      return note.held[i];
    }
  }
  return {};
}

TokenCount CountTokensOnDecodeEngine(const WorkNote& note) {
  TokenCount tokens = note.prompt + note.output;
  for (const TokenCount it : note.held) {
    tokens -= it;
  }
  return tokens;
}

}  // namespace

void WorkTracker::Apply(const InstanceId& owner, const WorkNote& note) {
  switch (note.phase) {
    case WorkPhase::kPrefilling:
      Start(owner, note);
      return;
    case WorkPhase::kDecoding:
      if (!work_items_.contains(note.attempt) && !note.engine.empty()) {
        Start(owner, note);
      }
      if (const auto it = work_items_.find(note.attempt);
          it != work_items_.end()) {
        FinishPrefill(it->second);
      }
      return;
    case WorkPhase::kEnded:
      Remove(note.attempt);
      return;
  }
}

std::vector<EngineId> WorkTracker::ListEngines(const WorkNote& note) {
  std::vector<EngineId> engines = note.helpers;
  engines.push_back(note.engine);
  return engines;
}

void WorkTracker::Start(const InstanceId& owner, const WorkNote& note) {
  RemoveExpired();
  Remove(note.attempt);
  const MonotonicTime now = clock_.Now();
  work_items_[note.attempt] = {owner, note, now};
  for (const EngineId& id : ListEngines(note)) {
    Engine& engine = engines_[id];
    engine.attempts.insert(note.attempt);
    engine.prefill_done_at =
        std::max(engine.prefill_done_at, now) + note.part_prefill_time;
  }
}

void WorkTracker::FinishPrefill(Work& work) {
  // Entries repeat their notes; a repeated one shows no new first event.
  const bool is_new = std::exchange(work.note.phase, WorkPhase::kDecoding) !=
                      WorkPhase::kDecoding;
  for (const EngineId& id : ListEngines(work.note)) {
    if (is_new) {
      RecordProgress(id);
    }
    ShortenBacklog(id);
  }
}

void WorkTracker::Remove(const AttemptId& attempt) {
  const auto it = work_items_.find(attempt);
  if (it == work_items_.end()) {
    return;
  }
  const std::vector<EngineId> engines = ListEngines(it->second.note);
  work_items_.erase(it);
  for (const EngineId& id : engines) {
    engines_[id].attempts.erase(attempt);
    ShortenBacklog(id);
  }
}

// The backlog is at most the sum of the prefill parts that are not done yet.
void WorkTracker::ShortenBacklog(const EngineId& id) {
  Engine& engine = engines_[id];
  Duration remaining_prefill{0};
  for (const AttemptId& it : engine.attempts) {
    const WorkNote& note = work_items_.at(it).note;
    if (note.phase == WorkPhase::kPrefilling) {
      remaining_prefill += note.part_prefill_time;
    }
  }
  engine.prefill_done_at =
      std::min(engine.prefill_done_at, clock_.Now() + remaining_prefill);
}

void WorkTracker::RemoveExpired() {
  const MonotonicTime oldest = clock_.Now() - kMaxAge;
  std::vector<AttemptId> expired;
  for (const auto& [attempt, work] : work_items_) {
    if (work.started_at < oldest) {
      expired.push_back(attempt);
    }
  }
  for (const AttemptId& it : expired) {
    Remove(it);
  }
}

void WorkTracker::RemoveOwner(const InstanceId& owner) {
  std::vector<AttemptId> owned;
  for (const auto& [attempt, work] : work_items_) {
    if (work.owner == owner) {
      owned.push_back(attempt);
    }
  }
  for (const AttemptId& it : owned) {
    Remove(it);
  }
}

std::vector<WorkNote> WorkTracker::ListOwnerWork(
    const InstanceId& owner) const {
  std::vector<WorkNote> notes;
  for (const auto& [attempt, work] : work_items_) {
    if (work.owner == owner) {
      notes.push_back(work.note);
    }
  }
  return notes;
}

void WorkTracker::RemoveEngine(const EngineId& engine) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) {
    return;
  }
  const std::set<AttemptId> attempts = it->second.attempts;
  for (const AttemptId& attempt : attempts) {
    if (work_items_.at(attempt).note.engine == engine) {
      Remove(attempt);
    }
  }
  if (engines_[engine].attempts.empty()) {
    engines_.erase(engine);
  }
}

void WorkTracker::RecordProgress(const EngineId& engine) {
  if (const auto it = engines_.find(engine); it != engines_.end()) {
    it->second.last_progress = clock_.Now();
  }
}

std::optional<MonotonicTime> WorkTracker::GetLastProgress(
    const EngineId& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? std::nullopt : it->second.last_progress;
}

EngineLoad WorkTracker::GetEngineLoad(const EngineId& id) const {
  EngineLoad load;
  const auto it = engines_.find(id);
  if (it == engines_.end()) {
    return load;
  }
  const Duration remaining = it->second.prefill_done_at - clock_.Now();
  load.backlog = std::max(remaining, Duration::zero());
  for (const AttemptId& attempt : it->second.attempts) {
    const WorkNote& note = work_items_.at(attempt).note;
    if (note.engine != id) {
      load.partial_prefills += note.phase == WorkPhase::kPrefilling ? 1 : 0;
      load.context += CountTokensOnHelper(note, id);
      continue;
    }
    ++load.streams;
    load.context += CountTokensOnDecodeEngine(note);
    if (load.max_event_gap == Duration::zero() ||
        note.max_event_gap < load.max_event_gap) {
      load.max_event_gap = note.max_event_gap;
    }
  }
  for (const AttemptId& attempt : it->second.attempts) {
    const Work& work = work_items_.at(attempt);
    if (work.note.phase == WorkPhase::kPrefilling &&
        clock_.Now() - work.started_at < load.max_event_gap) {
      load.pending_prefill += work.note.part_prefill_time;
    }
  }
  return load;
}

}  // namespace kingcupdrift
