#include "kingcupdrift/routing/work_book.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

TokenCount HeldBy(const WorkNote& note, const EngineId& helper) {
  for (std::size_t i = 0; i < note.held.size(); ++i) {
    if (note.helpers[i] == helper) {
      return note.held[i];
    }
  }
  return {};
}

TokenCount HeldByFirst(const WorkNote& note) {
  TokenCount tokens = note.prompt + note.output;
  for (const TokenCount it : note.held) {
    tokens -= it;
  }
  return tokens;
}

}  // namespace

void WorkBook::Apply(const InstanceId& owner, const WorkNote& note) {
  switch (note.phase) {
    case WorkPhase::kReading:
      Start(owner, note);
      return;
    case WorkPhase::kWriting:
      if (!works_.contains(note.attempt) && !note.engine.empty()) {
        Start(owner, note);
      }
      if (const auto it = works_.find(note.attempt); it != works_.end()) {
        FinishReading(it->second);
      }
      return;
    case WorkPhase::kEnded:
      Remove(note.attempt);
      return;
  }
}

std::vector<EngineId> WorkBook::EnginesOf(const WorkNote& note) {
  std::vector<EngineId> engines = note.helpers;
  engines.push_back(note.engine);
  return engines;
}

void WorkBook::Start(const InstanceId& owner, const WorkNote& note) {
  DropOld();
  Remove(note.attempt);
  const MonotonicTime now = clock_.Now();
  works_[note.attempt] = {owner, note, now};
  for (const EngineId& id : EnginesOf(note)) {
    Engine& engine = engines_[id];
    engine.works.insert(note.attempt);
    engine.read_until = std::max(engine.read_until, now) + note.part_time;
  }
}

void WorkBook::FinishReading(Work& work) {
  work.note.phase = WorkPhase::kWriting;
  for (const EngineId& id : EnginesOf(work.note)) {
    ShortenBacklog(id);
  }
}

void WorkBook::Remove(const AttemptId& attempt) {
  const auto it = works_.find(attempt);
  if (it == works_.end()) {
    return;
  }
  const std::vector<EngineId> engines = EnginesOf(it->second.note);
  works_.erase(it);
  for (const EngineId& id : engines) {
    engines_[id].works.erase(attempt);
    ShortenBacklog(id);
  }
}

// The backlog is never longer than the parts that are still unread.
void WorkBook::ShortenBacklog(const EngineId& id) {
  Engine& engine = engines_[id];
  Duration unread{0};
  for (const AttemptId& it : engine.works) {
    const WorkNote& note = works_.at(it).note;
    if (note.phase == WorkPhase::kReading) {
      unread += note.part_time;
    }
  }
  engine.read_until = std::min(engine.read_until, clock_.Now() + unread);
}

void WorkBook::DropOld() {
  const MonotonicTime oldest = clock_.Now() - kMaxAge;
  std::vector<AttemptId> old;
  for (const auto& [attempt, work] : works_) {
    if (work.since < oldest) {
      old.push_back(attempt);
    }
  }
  for (const AttemptId& it : old) {
    Remove(it);
  }
}

void WorkBook::RemoveOwner(const InstanceId& owner) {
  std::vector<AttemptId> gone;
  for (const auto& [attempt, work] : works_) {
    if (work.owner == owner) {
      gone.push_back(attempt);
    }
  }
  for (const AttemptId& it : gone) {
    Remove(it);
  }
}

std::vector<WorkNote> WorkBook::WorkOf(const InstanceId& owner) const {
  std::vector<WorkNote> notes;
  for (const auto& [attempt, work] : works_) {
    if (work.owner == owner) {
      notes.push_back(work.note);
    }
  }
  return notes;
}

void WorkBook::RemoveEngine(const EngineId& engine) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) {
    return;
  }
  const std::set<AttemptId> works = it->second.works;
  for (const AttemptId& attempt : works) {
    if (works_.at(attempt).note.engine == engine) {
      Remove(attempt);
    }
  }
  if (engines_[engine].works.empty()) {
    engines_.erase(engine);
  }
}

EngineWork WorkBook::At(const EngineId& id) const {
  EngineWork out;
  const auto it = engines_.find(id);
  if (it == engines_.end()) {
    return out;
  }
  const Duration left = it->second.read_until - clock_.Now();
  out.backlog = std::max(left, Duration::zero());
  for (const AttemptId& attempt : it->second.works) {
    const WorkNote& note = works_.at(attempt).note;
    if (note.engine != id) {
      out.helping += note.phase == WorkPhase::kReading ? 1 : 0;
      out.context += HeldBy(note, id);
      continue;
    }
    ++out.streams;
    out.context += HeldByFirst(note);
    if (out.pause_limit == Duration::zero() ||
        note.pause_limit < out.pause_limit) {
      out.pause_limit = note.pause_limit;
    }
  }
  return out;
}

}  // namespace kingcupdrift
