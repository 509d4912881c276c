// Script functions that act on entries, their network and operators.

#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

using fakes::Cluster;
using fakes::ClusterNode;
using fakes::ClusterOptions;

/// Returns the node of the entry named by an argument; fails the script and
/// returns null if that entry is not running.
ClusterNode* NodeAt(Scenario& scenario, ScriptCall& call, int index) {
  const std::string name = call.GetString(index);
  ClusterNode* node = scenario.cluster->FindNode(name);
  if (node == nullptr) {
    call.Fail("entry " + name + " is not running");
  }
  return node;
}

void StartCluster(Scenario& scenario, ScriptCall& call) {
  ClusterOptions options;
  options.seed = scenario.seed;
  options.entries = static_cast<int>(call.NumberOption("entries", 3));
  options.engines = static_cast<int>(call.NumberOption("engines", 4));
  options.services = static_cast<int>(call.NumberOption("services", 1));
  options.is_fencing_enforced = call.FlagOption("fencing", true);
  options.engine_memory = TokenCount(
      static_cast<std::int64_t>(call.NumberOption("memory", 400'000)));
  scenario.cluster = std::make_unique<Cluster>(options);
  if (!scenario.cluster->Start()) {
    call.Fail("the entries did not become ready");
  }
}

void Advance(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Advance(call.GetDuration(1));
}

void WaitFor(Scenario& scenario, ScriptCall& call) {
  const auto condition = call.GetCondition(1);
  const Duration time_limit = call.GetDuration(2, 120);
  if (!call.has_failed() &&
      !scenario.cluster->AdvanceUntil(condition, time_limit)) {
    call.Fail("the condition did not become true in time");
  }
}

void StartEntry(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->StartEntry(call.GetString(1));
}

void KillEntry(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->KillEntry(call.GetString(1));
}

void Freeze(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Freeze(call.GetString(1));
}

void Thaw(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Thaw(call.GetString(1));
}

void Drain(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Drain(call.GetString(1));
}

void IsRunning(Scenario& scenario, ScriptCall& call) {
  call.PushResult(scenario.cluster->FindNode(call.GetString(1)) != nullptr);
}

void Cut(Scenario& scenario, ScriptCall& call) {
  ClusterNode* a = NodeAt(scenario, call, 1);
  ClusterNode* b = NodeAt(scenario, call, 2);
  if (!call.has_failed()) {
    scenario.cluster->peers().Cut(a->settings().peer_endpoint,
                                  b->settings().peer_endpoint);
  }
}

void CutOneWay(Scenario& scenario, ScriptCall& call) {
  ClusterNode* a = NodeAt(scenario, call, 1);
  ClusterNode* b = NodeAt(scenario, call, 2);
  if (!call.has_failed()) {
    scenario.cluster->peers().CutOneWay(a->settings().peer_endpoint,
                                        b->settings().peer_endpoint);
  }
}

void Heal(Scenario& scenario, ScriptCall&) {
  scenario.cluster->peers().HealAll();
}

void Approve(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->Approve(call.GetString(1));
}

void ApprovalOf(Scenario& scenario, ScriptCall& call) {
  const auto& approvals = scenario.cluster->approvals();
  const auto it = approvals.find(call.GetString(1));
  call.PushResult(it == approvals.end() ? std::string("none") : it->second);
}

void GenerationOf(Scenario& scenario, ScriptCall& call) {
  if (ClusterNode* node = NodeAt(scenario, call, 1)) {
    call.PushResult(
        static_cast<double>(node->entry().GetStatus().generation.value()));
  }
}

/// lists(entry, other): returns true if `entry` names `other` in the list of
/// entries that it gives to callers.
void Lists(Scenario& scenario, ScriptCall& call) {
  ClusterNode* node = NodeAt(scenario, call, 1);
  ClusterNode* other = NodeAt(scenario, call, 2);
  if (call.has_failed()) {
    return;
  }
  bool is_listed = false;
  for (const Endpoint& it :
       node->entry().ListEntries(WorkspaceId("w")).entries) {
    is_listed |= it == other->settings().caller_endpoint;
  }
  call.PushResult(is_listed);
}

}  // namespace

std::vector<ScriptFunction> ListClusterFunctions() {
  return {{"cluster", StartCluster},
          {"advance", Advance},
          {"wait_for", WaitFor},
          {"start_entry", StartEntry},
          {"kill_entry", KillEntry},
          {"freeze", Freeze},
          {"thaw", Thaw},
          {"drain", Drain},
          {"is_running", IsRunning},
          {"cut", Cut},
          {"cut_one_way", CutOneWay},
          {"heal", Heal},
          {"approve", Approve},
          {"approval_of", ApprovalOf},
          {"generation_of", GenerationOf},
          {"lists", Lists}};
}

}  // namespace kingcupdrift::scenarios
