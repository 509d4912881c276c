// Script functions that check results and invariants.

#include <fmt/format.h>

#include "tests/fakes/cluster_invariants.h"
#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

using fakes::ClusterCall;

void FailWith(ScriptCall& call, const std::vector<std::string>& violations) {
  std::string text;
  for (const std::string& fault : violations) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  if (!text.empty()) {
    call.Fail(text);
  }
}

/// expect(condition, message)
void Expect(Scenario&, ScriptCall& call) {
  if (!call.GetBool(1)) {
    call.Fail(call.GetString(2));
  }
}

/// expect_outcome(name, outcome, ...): passes if the call ended with one of the
/// outcomes.
void ExpectOutcome(Scenario& scenario, ScriptCall& call) {
  const std::string name = call.GetString(1);
  const ClusterCall* found = scenario.cluster->FindCall(name);
  if (found == nullptr) {
    call.Fail("there is no call " + name);
    return;
  }
  std::string allowed;
  for (int i = 2; !lua_isnoneornil(call.state(), i); ++i) {
    const std::string outcome = call.GetString(i);
    if (outcome == found->outcome()) {
      return;
    }
    allowed += outcome + " ";
  }
  call.Fail(fmt::format("the outcome of {} is {}, expected {}({})", name,
                        found->outcome(), allowed, DescribeProblem(*found)));
}

void ExpectWhole(Scenario& scenario, ScriptCall& call) {
  FailWith(call, CheckWholeAnswers(*scenario.cluster));
}

void ExpectAtMostOnce(Scenario& scenario, ScriptCall& call) {
  FailWith(call, CheckAtMostOnce(*scenario.cluster));
}

void ExpectNoMemoryHeld(Scenario& scenario, ScriptCall& call) {
  FailWith(call, CheckNoMemoryHeld(*scenario.cluster));
}

/// expect_all(): checks all invariants. Valid only at the end of a script, when
/// every call has ended and expired engine memory has been freed.
void ExpectAll(Scenario& scenario, ScriptCall& call) {
  FailWith(call, CheckAll(*scenario.cluster));
}

}  // namespace

std::vector<ScriptFunction> ListCheckFunctions() {
  return {{"expect", Expect},
          {"expect_outcome", ExpectOutcome},
          {"expect_whole", ExpectWhole},
          {"expect_runs_at_most_once", ExpectAtMostOnce},
          {"expect_no_memory_held", ExpectNoMemoryHeld},
          {"expect_all", ExpectAll}};
}

}  // namespace kingcupdrift::scenarios
