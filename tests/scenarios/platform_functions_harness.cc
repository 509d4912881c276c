// Script functions that act on the store, the engines, the plain services and
// the platform's instance list.

#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

using fakes::EngineLinkFault;
using fakes::ServiceFault;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// store_down(is_down)
void StoreDown(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->store().SetFault({.is_down = call.GetBool(1)});
}

/// store_slow(seconds): delays each call at the store.
void StoreSlow(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->store().SetFault({.delay = call.GetDuration(1)});
}

/// lose_store_replies(n): drops the replies to the next `n` calls.
void LoseStoreReplies(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->store().LoseReplies(static_cast<int>(call.GetNumber(1, 1)));
}

/// late_writes(n, seconds): delays the effect of the next `n` writes.
void LateWrites(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->store().DelayWrites(static_cast<int>(call.GetNumber(1, 1)),
                                        call.GetDuration(2, 10));
}

/// store_silent(entry, {to=, from=}): drops the requests of one entry to the
/// store, or the store's replies to it.
void StoreSilent(Scenario& scenario, ScriptCall& call) {
  if (fakes::ClusterNode* node =
          scenario.cluster->FindNode(call.GetString(1))) {
    node->store().SetDropRequests(call.FlagOption("to"));
    node->store().SetDropReplies(call.FlagOption("from"));
  }
}

EngineId EngineAt(Scenario& scenario, ScriptCall& call) {
  EngineId id(call.GetString(1));
  if (scenario.cluster->engines().Find(id) == nullptr) {
    call.Fail("there is no engine " + id.value());
  }
  return id;
}

void KillEngine(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->engines().Kill(EngineAt(scenario, call));
}

void ReviveEngine(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->engines().Revive(EngineAt(scenario, call));
}

/// engine_fault(engine, {to=, from=, spares_new=, down=, delay=}): replaces the
/// faults of the links to an engine. `to` and `from` drop messages in one
/// direction, `spares_new` limits this to streams that are open now, `delay` is
/// in seconds.
void SetEngineFault(Scenario& scenario, ScriptCall& call) {
  EngineLinkFault fault;
  fault.is_down = call.FlagOption("down");
  fault.drops_messages_to_engine = call.FlagOption("to");
  fault.drops_messages_from_engine = call.FlagOption("from");
  fault.affects_only_open_streams = call.FlagOption("spares_new");
  fault.delay = FromSeconds(call.NumberOption("delay", 0));
  scenario.cluster->engines().SetFault(EngineAt(scenario, call), fault);
}

void LoseEngineReply(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->engines().LoseNextReply(EngineAt(scenario, call));
}

void MemoryOf(Scenario& scenario, ScriptCall& call) {
  const EngineId id = EngineAt(scenario, call);
  if (!call.has_failed()) {
    const auto* engine = scenario.cluster->engines().Find(id);
    call.PushResult(static_cast<double>(engine->GetHeldMemory().value()));
  }
}

void RunningOn(Scenario& scenario, ScriptCall& call) {
  const EngineId id = EngineAt(scenario, call);
  if (!call.has_failed()) {
    const EngineReport now =
        scenario.cluster->engines().Find(id)->GetCurrentReport();
    call.PushResult(static_cast<double>(now.running_streams));
  }
}

/// orders_of(engine): returns how many placement orders the engine applied, and
/// the version in the last one.
void OrdersOf(Scenario& scenario, ScriptCall& call) {
  const EngineId id = EngineAt(scenario, call);
  if (call.has_failed()) {
    return;
  }
  const auto& orders = scenario.cluster->engines().Find(id)->counters().orders;
  call.PushResult(static_cast<double>(orders.size()));
  call.PushResult(orders.empty() ? std::string() : orders.back().version);
}

/// service_fault(service, {down=, loses_replies=, silent=, old_silent=,
/// run_time=}): replaces the faults of a plain service. `silent` drops
/// requests, `old_silent` only those on connections that are not new,
/// `run_time` is in seconds.
void SetServiceFault(Scenario& scenario, ScriptCall& call) {
  ServiceFault fault;
  fault.is_down = call.FlagOption("down");
  fault.loses_replies = call.FlagOption("loses_replies");
  fault.drops_requests = call.FlagOption("silent");
  fault.drops_requests_on_old_connections = call.FlagOption("old_silent");
  fault.run_time = FromSeconds(call.NumberOption("run_time", 0.005));
  scenario.cluster->services().Get(EngineId(call.GetString(1))).SetFault(fault);
}

void LoseServiceReplies(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->services()
      .Get(EngineId(call.GetString(1)))
      .LoseReplies(static_cast<int>(call.GetNumber(2, 1)));
}

void ListDown(Scenario& scenario, ScriptCall& call) {
  scenario.cluster->list().SetDown(call.GetBool(1));
}

void StoreCalls(Scenario& scenario, ScriptCall& call) {
  const auto& counters = scenario.cluster->store().counters();
  call.PushResult(
      static_cast<double>(counters.reads + counters.writes + counters.watches));
}

}  // namespace

std::vector<ScriptFunction> ListPlatformFunctions() {
  return {{"store_down", StoreDown},
          {"store_slow", StoreSlow},
          {"lose_store_replies", LoseStoreReplies},
          {"late_writes", LateWrites},
          {"store_silent", StoreSilent},
          {"kill_engine", KillEngine},
          {"revive_engine", ReviveEngine},
          {"engine_fault", SetEngineFault},
          {"lose_engine_reply", LoseEngineReply},
          {"memory_of", MemoryOf},
          {"running_on", RunningOn},
          {"orders_of", OrdersOf},
          {"service_fault", SetServiceFault},
          {"lose_service_replies", LoseServiceReplies},
          {"list_down", ListDown},
          {"store_calls", StoreCalls}};
}

}  // namespace kingcupdrift::scenarios
