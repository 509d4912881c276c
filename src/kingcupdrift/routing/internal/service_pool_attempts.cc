// The part of `ServicePool` that records attempts, exchanges notes of them and
// learns from their outcome.
#include <algorithm>
#include <utility>

#include "kingcupdrift/routing/internal/service_pool.h"

namespace kingcupdrift {
namespace {

/// Limit of the prompt blocks kept of an attempt for the prefix index.
constexpr std::size_t kMaxKeptBlocks = 4096;
/// Time after a note of another entry during which notes count as fresh.
constexpr Duration kNotesFreshTime = std::chrono::seconds(5);
/// Least predicted time to first token from which prediction errors are
/// learned.
constexpr Duration kMinLearnedTime = std::chrono::milliseconds(50);

}  // namespace

void ServicePool::OnDispatched(const RouteRequest& request,
                               const Route& route) {
  const auto it = slots_.find(route.members.front().engine.id);
  if (it == slots_.end()) {
    return;
  }
  auto attempt = std::make_unique<LocalAttempt>();
  attempt->id = request.attempt;
  attempt->slot = it->second;
  attempt->priority = route.engine_priority;
  attempt->prompt_tokens = static_cast<double>(request.prompt_tokens.value());
  attempt->expected_cached = static_cast<double>(route.estimate.cached.value());
  attempt->uncached = attempt->prompt_tokens - attempt->expected_cached;
  attempt->dispatched_at = clock_.Now();
  attempt->predicted_time_to_first_token = route.estimate.time_to_first_token;
  attempt->was_idle = engines_[attempt->slot]->InFlight() == 0;
  const std::size_t kept =
      std::min(kMaxKeptBlocks, request.block_digests.size());
  attempt->block_digests.assign(request.block_digests.begin(),
                                request.block_digests.begin() + kept);
  for (const RouteMember& member : route.members) {
    if (const auto slot = slots_.find(member.engine.id); slot != slots_.end()) {
      const auto tokens = static_cast<double>(member.tokens.value());
      attempt->memory.push_back({slot->second, tokens});
      engines_[slot->second]->AddMemoryUse(tokens);
    }
  }
  AddNote(*attempt);
  prompt_lengths_.Observe(attempt->prompt_tokens);
  engines_[attempt->slot]->Add(attempt.get());
  attempts_[request.attempt] = std::move(attempt);
}

void ServicePool::AddNote(const LocalAttempt& attempt) {
  if (notes_.size() == Router::kMaxNotes) {
    notes_.pop_front();
  }
  notes_.push_back(
      {engines_[attempt.slot]->config().id, attempt.id,
       TokenCount(static_cast<std::int64_t>(attempt.uncached)),
       TokenCount(static_cast<std::int64_t>(attempt.memory.front().tokens)),
       attempt.priority});
}

void ServicePool::TakeNotes(std::vector<DispatchNote>& out) {
  out.insert(out.end(), notes_.begin(), notes_.end());
  notes_.clear();
}

bool ServicePool::OnNote(const DispatchNote& note) {
  EngineState* engine = FindEngine(note.engine);
  if (engine != nullptr) {
    engine->AddRemoteAttempt(clock_.Now(), note);
    notes_fresh_until_ = clock_.Now() + kNotesFreshTime;
  }
  return engine != nullptr;
}

LocalAttempt* ServicePool::FindAttempt(const AttemptId& attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : it->second.get();
}

bool ServicePool::OnAccepted(const AttemptId& id, TokenCount cached) {
  LocalAttempt* attempt = FindAttempt(id);
  if (attempt == nullptr) {
    return false;
  }
  const auto actual = static_cast<double>(cached.value());
  engines_[attempt->slot]->ObserveCached(attempt->expected_cached, actual);
  attempt->uncached = std::max(0.0, attempt->prompt_tokens - actual);
  return true;
}

bool ServicePool::OnProgress(const AttemptId& id) {
  LocalAttempt* attempt = FindAttempt(id);
  if (attempt == nullptr) {
    return false;
  }
  if (!attempt->has_first_token) {
    attempt->has_first_token = true;
    LearnFirstToken(*attempt);
  }
  return true;
}

void ServicePool::LearnFirstToken(const LocalAttempt& attempt) {
  const Duration actual = clock_.Now() - attempt.dispatched_at;
  prefixes_.AddPrompt(attempt.slot, attempt.block_digests);
  if (attempt.predicted_time_to_first_token >= kMinLearnedTime) {
    prediction_error_.Observe(
        attempt.prompt_tokens,
        static_cast<double>(actual.count()) /
            static_cast<double>(attempt.predicted_time_to_first_token.count()));
  }
  if (attempt.was_idle && attempt.memory.size() == 1 &&
      !engines_[attempt.slot]->ReportsPrefillRate()) {
    engines_[attempt.slot]->ObservePrefill(attempt.uncached, actual);
  }
}

bool ServicePool::OnEnded(const AttemptId& id, AttemptResult result) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) {
    return false;
  }
  const std::unique_ptr<LocalAttempt> attempt = std::move(it->second);
  attempts_.erase(it);
  EngineState& engine = *engines_[attempt->slot];
  engine.Remove(attempt.get());
  if (!attempt->is_in_report) {
    for (const MemoryShare& share : attempt->memory) {
      engines_[share.slot]->RemoveMemoryUse(share.tokens);
    }
  }
  if (result == AttemptResult::kSuccess) {
    ejector_.OnSuccess(engine.config().id);
  } else if (result == AttemptResult::kEngineFault) {
    ejector_.OnFault(engine.config().id);
  }
  return true;
}

}  // namespace kingcupdrift
