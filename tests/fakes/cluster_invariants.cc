#include "tests/fakes/cluster_invariants.h"

#include <fmt/format.h>

#include <chrono>

#include "tests/fakes/prompt_reader.h"

namespace kingcupdrift::fakes {
namespace {

using Violations = std::vector<std::string>;

/// Tolerance for timers that fire late.
constexpr Duration kTimerGrace = std::chrono::milliseconds(100);
/// Time after the start of a drain from which the entry must refuse new
/// requests.
constexpr Duration kDrainAdmissionGracePeriod = std::chrono::seconds(3);
/// Time within which an approved configuration must be in force at every entry.
constexpr Duration kMaxConfigPropagationTime = std::chrono::seconds(7);

void CheckAnswer(const ClusterCall& call, Violations& violations) {
  const CallRecord& record = *call.record;
  if (record.endings > 1) {
    violations.push_back(
        fmt::format("{} ended {} times", call.name, record.endings));
  }
  if (call.is_order()) {
    return;
  }
  const std::string expected = ExpectedAnswer(*call.body, record.tokens);
  if (record.has_gap || call.text() != expected) {
    violations.push_back(fmt::format(
        "{} got a wrong answer of {} tokens (gap: {}, {} bytes instead of {})",
        call.name, record.tokens, record.has_gap, call.text().size(),
        expected.size()));
  }
  if (record.end && record.tokens != call.output_tokens) {
    violations.push_back(fmt::format("{} finished with {} of {} tokens",
                                     call.name, record.tokens,
                                     call.output_tokens));
  }
}

int CallsWithKey(Cluster& cluster, const std::string& key) {
  int n = 0;
  for (const auto& [name, call] : cluster.calls()) {
    n += call->key == key ? 1 : 0;
  }
  return n;
}

int RunsOfRequest(Cluster& cluster, const RequestId& request) {
  int n = 0;
  for (const auto& [id, engine] : cluster.engines().engines()) {
    const auto& runs = engine->counters().runs_by_request;
    const auto it = runs.find(request);
    n += it == runs.end() ? 0 : it->second;
  }
  return n;
}

}  // namespace

Violations CheckTimeLimits(Cluster& cluster) {
  Violations violations;
  for (const auto& [name, call] : cluster.calls()) {
    if (call->is_interrupted || call->was_frozen) {
      continue;
    }
    const CallRecord& record = *call->record;
    const MonotonicTime latest =
        record.delivered_at + call->time_limit + kTimerGrace;
    const bool is_late = record.is_ended() ? record.ended > latest
                                           : cluster.clock().Now() > latest;
    if (is_late) {
      violations.push_back(
          fmt::format("{} did not end within its time limit", name));
    }
  }
  return violations;
}

Violations CheckNoMemoryHeld(Cluster& cluster) {
  Violations violations;
  for (const auto& [id, engine] : cluster.engines().engines()) {
    if (engine->GetHeldMemory() != TokenCount(0)) {
      violations.push_back(fmt::format("engine {} still holds {} tokens",
                                       id.value(),
                                       engine->GetHeldMemory().value()));
    }
  }
  return violations;
}

Violations CheckWholeAnswers(Cluster& cluster) {
  Violations violations;
  for (const auto& [name, call] : cluster.calls()) {
    CheckAnswer(*call, violations);
  }
  return violations;
}

Violations CheckNotRunOutcomes(Cluster& cluster) {
  Violations violations;
  for (const auto& [name, call] : cluster.calls()) {
    if (call->outcome() != "not_run") {
      continue;
    }
    int runs = 0;
    if (call->is_order()) {
      // If calls share a key, another of them may have run it.
      const bool is_own = CallsWithKey(cluster, call->key) == 1;
      runs = is_own ? cluster.services().RunsOfKey(call->key) : 0;
    } else if (!call->request.empty() && call->earlier_tokens == 0) {
      runs = RunsOfRequest(cluster, call->request);
    }
    if (runs > 0) {
      violations.push_back(
          fmt::format("{} got outcome not_run but ran {} times", name, runs));
    }
  }
  return violations;
}

Violations CheckAtMostOnce(Cluster& cluster) {
  Violations violations;
  for (const auto& [id, model] : cluster.services().models()) {
    for (const auto& [key, n] : model.runs_by_key()) {
      const int total = cluster.services().RunsOfKey(key);
      if (total > 1) {
        violations.push_back(fmt::format("key {} ran {} times", key, total));
      }
    }
  }
  return violations;
}

Violations CheckNoAdmissionWhileDraining(Cluster& cluster) {
  Violations violations;
  for (const auto& [name, call] : cluster.calls()) {
    const bool is_admitted =
        call->record->is_ended()
            ? !(call->record->problem &&
                call->record->problem->type == ProblemType::kLeaving)
            : !call->is_interrupted && !call->was_frozen;
    if (call->time_since_drain_start >= kDrainAdmissionGracePeriod &&
        is_admitted && !call->was_frozen && call->earlier_tokens == 0) {
      violations.push_back(
          fmt::format("{} was admitted by a draining entry", name));
    }
  }
  return violations;
}

Violations CheckApprovedGeneration(Cluster& cluster) {
  Violations violations;
  if (cluster.clock().Now() - cluster.approved_at() <
      kMaxConfigPropagationTime) {
    return violations;
  }
  for (const auto& [name, node] : cluster.nodes()) {
    const Generation now = node->entry().GetStatus().generation;
    if (!node->clock().is_frozen() && now < cluster.approved_generation()) {
      violations.push_back(fmt::format(
          "entry {} has generation {} instead of the approved {}", name,
          now.value(), cluster.approved_generation().value()));
    }
  }
  return violations;
}

Violations CheckAll(Cluster& cluster) {
  Violations violations = cluster.violations();
  for (const auto check :
       {CheckTimeLimits, CheckNoMemoryHeld, CheckWholeAnswers,
        CheckNotRunOutcomes, CheckAtMostOnce, CheckNoAdmissionWhileDraining,
        CheckApprovedGeneration}) {
    const Violations found = check(cluster);
    violations.insert(violations.end(), found.begin(), found.end());
  }
  return violations;
}

}  // namespace kingcupdrift::fakes
