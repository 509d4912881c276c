// Script functions that act as callers.

#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

using fakes::ClusterCall;
using fakes::CompletionSpec;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// Returns the call named by an argument; fails the script and returns null if
/// there is none.
ClusterCall* CallAt(Scenario& scenario, ScriptCall& call, int index) {
  const std::string name = call.GetString(index);
  ClusterCall* found = scenario.cluster->FindCall(name);
  if (found == nullptr) {
    call.Fail("there is no call " + name);
  }
  return found;
}

/// submit(entry, name, {prompt=, output=, limit=}): sends a completion. Sizes
/// in tokens, the time limit in seconds.
void Submit(Scenario& scenario, ScriptCall& call) {
  CompletionSpec spec;
  spec.prompt_tokens =
      static_cast<std::int64_t>(call.NumberOption("prompt", 100));
  spec.output_tokens =
      static_cast<std::int64_t>(call.NumberOption("output", 20));
  spec.time_limit = FromSeconds(call.NumberOption("limit", 60));
  scenario.cluster->Submit(call.GetString(1), call.GetString(2), spec);
}

/// order(entry, name, key, {limit=}): sends a request with an idempotency key
/// to a plain service.
void SubmitOrder(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->SubmitOrder(call.GetString(1), call.GetString(2),
                                call.GetString(3),
                                FromSeconds(call.NumberOption("limit", 30)));
}

/// resume(entry, name, earlier): continues the stream of the call `earlier`.
void Resume(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Resume(call.GetString(1), call.GetString(2),
                           call.GetString(3));
}

void DisconnectCaller(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->DisconnectCaller(call.GetString(1));
}

void OutcomeOf(Scenario& scenario, ScriptCall& call) {
  if (const ClusterCall* found = CallAt(scenario, call, 1)) {
    call.PushResult(found->outcome());
  }
}

void ProblemOf(Scenario& scenario, ScriptCall& call) {
  if (const ClusterCall* found = CallAt(scenario, call, 1)) {
    call.PushResult(DescribeProblem(*found));
  }
}

void TokensOf(Scenario& scenario, ScriptCall& call) {
  if (const ClusterCall* found = CallAt(scenario, call, 1)) {
    call.PushResult(static_cast<double>(found->record->tokens));
  }
}

/// wait_tokens(name, n, limit): waits until `n` tokens have arrived, for at
/// most `limit` seconds.
void WaitTokens(Scenario& scenario, ScriptCall& call) {
  const ClusterCall* found = CallAt(scenario, call, 1);
  const auto n = static_cast<std::uint64_t>(call.GetNumber(2, 1));
  const Duration time_limit = call.GetDuration(3, 120);
  if (call.has_failed()) {
    return;
  }
  const bool is_reached = scenario.cluster->AdvanceUntil(
      [&] { return found->record->tokens >= n || found->is_over(); },
      time_limit);
  if (!is_reached || found->record->tokens < n) {
    call.Fail("not enough tokens arrived: " + found->outcome() + " " +
              DescribeProblem(*found));
  }
}

/// wait_ended(name, limit): waits until the call has ended, for at most `limit`
/// seconds.
void WaitEnded(Scenario& scenario, ScriptCall& call) {
  const ClusterCall* found = CallAt(scenario, call, 1);
  const Duration time_limit = call.GetDuration(2, 300);
  if (!call.has_failed() && !scenario.cluster->AdvanceUntil(
                                [&] { return found->is_over(); }, time_limit)) {
    call.Fail(found->name + " did not end in time");
  }
}

/// runs_of(key): how often the services ran the order with this key.
void RunsOf(Scenario& scenario, ScriptCall& call) {
  const std::string key =
      scenario.cluster->GetIdempotencyKey(call.GetString(1));
  call.PushResult(
      static_cast<double>(scenario.cluster->services().RunsOfKey(key)));
}

/// set_unsent(name, bytes): sets how many bytes wait on the caller's
/// connection, as if the caller read slowly or had caught up.
void SetUnsent(Scenario& scenario, ScriptCall& call) {
  if (ClusterCall* found = CallAt(scenario, call, 1)) {
    found->record->unsent =
        ByteCount(static_cast<std::int64_t>(call.GetNumber(2)));
  }
}

void HandleCallerWritable(Scenario& scenario, ScriptCall& call) {
  ClusterCall* found = CallAt(scenario, call, 1);
  if (found == nullptr) {
    return;
  }
  if (fakes::ClusterNode* node = scenario.cluster->FindNode(found->entry)) {
    node->entry().HandleCallerWritable(found->request);
  }
}

}  // namespace

std::vector<ScriptFunction> ListCallerFunctions() {
  return {{"submit", Submit},        {"order", SubmitOrder},
          {"resume", Resume},        {"leave", DisconnectCaller},
          {"outcome_of", OutcomeOf}, {"problem_of", ProblemOf},
          {"tokens_of", TokensOf},   {"wait_tokens", WaitTokens},
          {"wait_ended", WaitEnded}, {"runs_of", RunsOf},
          {"set_unsent", SetUnsent}, {"caller_drained", HandleCallerWritable}};
}

}  // namespace kingcupdrift::scenarios
