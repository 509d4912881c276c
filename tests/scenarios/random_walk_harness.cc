#include <fmt/format.h>

#include <chrono>

#include "tests/fakes/cluster_invariants.h"
#include "tests/fakes/cluster_names.h"
#include "tests/scenarios/random_walk.h"

namespace kingcupdrift::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kSteps = 40;
constexpr std::uint64_t kMaxStepMs = 3000;
/// Longer than any call's time limit, the interval at which sweepers release
/// expired engine memory, and the margin that they keep after an expiry.
constexpr Duration kRecoveryTime = minutes(4);
constexpr Duration kCallLimit = seconds(60);
constexpr Duration kOrderLimit = seconds(15);

fakes::ClusterOptions Options(std::uint64_t seed) {
  fakes::ClusterOptions options;
  options.seed = seed;
  options.is_fencing_enforced = seed % 2 == 0;
  options.prefill_rate = 100'000;
  options.services = 2;
  return options;
}

}  // namespace

/// One kind of step and its relative frequency.
struct RandomWalk::Step {
  int weight;
  void (RandomWalk::*run)();
};

const std::vector<RandomWalk::Step>& RandomWalk::Steps() {
  static const std::vector<Step> steps = {
      {10, &RandomWalk::Submit},          {2, &RandomWalk::SubmitLarge},
      {8, &RandomWalk::SubmitOrder},      {6, &RandomWalk::RepeatOrder},
      {4, &RandomWalk::Resume},           {1, &RandomWalk::DisconnectCaller},
      {2, &RandomWalk::KillEntry},        {2, &RandomWalk::FreezeEntry},
      {1, &RandomWalk::DrainEntry},       {3, &RandomWalk::StartEntries},
      {1, &RandomWalk::CutPeers},         {2, &RandomWalk::KillEngine},
      {3, &RandomWalk::FaultEngine},      {2, &RandomWalk::LoseEngineReply},
      {2, &RandomWalk::StoreDown},        {2, &RandomWalk::StoreSlow},
      {3, &RandomWalk::LoseStoreReplies}, {2, &RandomWalk::DelayStoreWrites},
      {1, &RandomWalk::SilenceStore},     {3, &RandomWalk::FaultService},
      {2, &RandomWalk::Approve},          {6, &RandomWalk::HealAll}};
  return steps;
}

RandomWalk::RandomWalk(std::uint64_t seed)
    : random_(seed), cluster_(Options(seed)) {}

std::vector<std::string> RandomWalk::Run() {
  if (!cluster_.Start()) {
    return {"the entries did not become ready"};
  }
  int total = 0;
  for (const Step& step : Steps()) {
    total += step.weight;
  }
  for (int i = 0; i < kSteps; ++i) {
    auto draw =
        static_cast<int>(random_.NextBelow(static_cast<std::uint64_t>(total)));
    for (const Step& step : Steps()) {
      draw -= step.weight;
      if (draw < 0) {
        (this->*step.run)();
        break;
      }
    }
    cluster_.Advance(milliseconds(random_.NextBelow(kMaxStepMs)));
  }
  RecoverAndWait();
  return CheckAll(cluster_);
}

void RandomWalk::LogStep(const std::string& text) {
  const auto now = std::chrono::duration_cast<milliseconds>(
      cluster_.clock().Now().time_since_epoch());
  log_ += fmt::format("{} ms: {}\n", now.count(), text);
}

std::string RandomWalk::AnyEntry() {
  return fakes::EntryName(static_cast<int>(random_.NextBelow(
      static_cast<std::uint64_t>(cluster_.options().entries))));
}

EngineId RandomWalk::AnyEngine() {
  return fakes::EngineName(static_cast<int>(random_.NextBelow(
      static_cast<std::uint64_t>(cluster_.options().engines))));
}

std::string RandomWalk::AnyCall() {
  return calls_ == 0
             ? ""
             : fmt::format("call{}", random_.NextBelow(
                                         static_cast<std::uint64_t>(calls_)));
}

void RandomWalk::Submit() {
  const std::string entry = AnyEntry();
  const std::string name = fmt::format("call{}", calls_++);
  fakes::CompletionSpec spec;
  spec.prompt_tokens = 50 + static_cast<std::int64_t>(random_.NextBelow(5000));
  spec.output_tokens = 1 + static_cast<std::int64_t>(random_.NextBelow(200));
  spec.time_limit = kCallLimit;
  LogStep(fmt::format("submit {} at {}", name, entry));
  cluster_.Submit(entry, name, spec);
}

void RandomWalk::SubmitLarge() {
  const std::string entry = AnyEntry();
  const std::string name = fmt::format("call{}", calls_++);
  fakes::CompletionSpec spec;
  spec.prompt_tokens = 500'000;
  spec.output_tokens = 10;
  spec.time_limit = kCallLimit;
  LogStep(fmt::format("submit large {} at {}", name, entry));
  cluster_.Submit(entry, name, spec);
}

void RandomWalk::SubmitOrder() {
  const std::string entry = AnyEntry();
  const std::string name = fmt::format("call{}", calls_++);
  const std::string key = fmt::format("key{}", keys_++);
  LogStep(fmt::format("order {} at {} with {}", name, entry, key));
  cluster_.SubmitOrder(entry, name, key, kOrderLimit);
}

void RandomWalk::RepeatOrder() {
  if (keys_ == 0) {
    return;
  }
  const std::string entry = AnyEntry();
  const std::string name = fmt::format("call{}", calls_++);
  const std::string key = fmt::format(
      "key{}", random_.NextBelow(static_cast<std::uint64_t>(keys_)));
  LogStep(fmt::format("order {} at {} again with {}", name, entry, key));
  cluster_.SubmitOrder(entry, name, key, kOrderLimit);
}

void RandomWalk::Resume() {
  const std::string earlier = AnyCall();
  const fakes::ClusterCall* call = cluster_.FindCall(earlier);
  if (call == nullptr || call->is_order() || !call->record->start ||
      call->outcome() != "broken") {
    return;
  }
  const std::string entry = AnyEntry();
  const std::string name = fmt::format("call{}", calls_++);
  LogStep(fmt::format("resume {} as {} at {}", earlier, name, entry));
  cluster_.Resume(entry, name, earlier);
}

void RandomWalk::DisconnectCaller() {
  const std::string name = AnyCall();
  LogStep("disconnect caller of " + name);
  cluster_.DisconnectCaller(name);
}

void RandomWalk::KillEntry() {
  const std::string entry = AnyEntry();
  LogStep("kill " + entry);
  cluster_.KillEntry(entry);
}

void RandomWalk::FreezeEntry() {
  const std::string entry = AnyEntry();
  LogStep("freeze " + entry);
  cluster_.Freeze(entry);
}

void RandomWalk::DrainEntry() {
  const std::string entry = AnyEntry();
  LogStep("drain " + entry);
  cluster_.Drain(entry);
}

void RandomWalk::StartEntries() {
  for (int i = 0; i < cluster_.options().entries; ++i) {
    const std::string name = fakes::EntryName(i);
    fakes::ClusterNode* node = cluster_.FindNode(name);
    if (node == nullptr) {
      LogStep("start " + name);
      cluster_.StartEntry(name);
    } else if (node->clock().is_frozen()) {
      LogStep("thaw " + name);
      cluster_.Thaw(name);
    }
  }
}

void RandomWalk::CutPeers() {
  fakes::ClusterNode* a = cluster_.FindNode(AnyEntry());
  fakes::ClusterNode* b = cluster_.FindNode(AnyEntry());
  if (a != nullptr && b != nullptr && a != b) {
    LogStep("cut peers");
    cluster_.peers().CutOneWay(a->settings().peer_endpoint,
                               b->settings().peer_endpoint);
  }
}

void RandomWalk::KillEngine() {
  const EngineId id = AnyEngine();
  LogStep("kill engine " + id.value());
  cluster_.engines().Kill(id);
}

void RandomWalk::FaultEngine() {
  const EngineId id = AnyEngine();
  fakes::EngineLinkFault fault;
  fault.drops_messages_to_engine = random_.NextBelow(3) == 0;
  fault.drops_messages_from_engine = random_.NextBelow(2) == 0;
  fault.affects_only_open_streams = random_.NextBelow(2) == 0;
  fault.delay = milliseconds(random_.NextBelow(200));
  LogStep(fmt::format("engine {} drops to {} from {} only open streams {}",
                      id.value(), fault.drops_messages_to_engine,
                      fault.drops_messages_from_engine,
                      fault.affects_only_open_streams));
  cluster_.engines().SetFault(id, fault);
}

void RandomWalk::LoseEngineReply() {
  LogStep("lose an engine's reply");
  cluster_.engines().LoseNextReply(AnyEngine());
}

void RandomWalk::StoreDown() {
  LogStep("store down");
  cluster_.store().SetFault({.is_down = true});
}

void RandomWalk::StoreSlow() {
  LogStep("store slow");
  cluster_.store().SetFault({.delay = milliseconds(random_.NextBelow(4000))});
}

void RandomWalk::LoseStoreReplies() {
  LogStep("lose store replies");
  cluster_.store().LoseReplies(1 + static_cast<int>(random_.NextBelow(3)));
}

void RandomWalk::DelayStoreWrites() {
  LogStep("delay store writes");
  cluster_.store().DelayWrites(1 + static_cast<int>(random_.NextBelow(3)),
                               milliseconds(random_.NextBelow(20'000)));
}

void RandomWalk::SilenceStore() {
  if (fakes::ClusterNode* node = cluster_.FindNode(AnyEntry())) {
    LogStep("store silent for " + node->settings().instance.value());
    node->store().SetDropRequests(random_.NextBelow(2) == 0);
    node->store().SetDropReplies(random_.NextBelow(2) == 0);
  }
}

void RandomWalk::FaultService() {
  fakes::ServiceFault fault;
  fault.is_down = random_.NextBelow(3) == 0;
  fault.loses_replies = random_.NextBelow(3) == 0;
  fault.drops_requests = random_.NextBelow(4) == 0;
  fault.drops_requests_on_old_connections = random_.NextBelow(3) == 0;
  fault.run_time = milliseconds(random_.NextBelow(3000));
  LogStep(fmt::format("service down {} loses replies {} drops requests {}",
                      fault.is_down, fault.loses_replies,
                      fault.drops_requests));
  const auto index = static_cast<int>(random_.NextBelow(2));
  fakes::ServiceModel& service =
      cluster_.services().Get(fakes::ServiceName(index));
  service.SetFault(fault);
  service.LoseReplies(static_cast<int>(random_.NextBelow(3)));
}

void RandomWalk::Approve() {
  LogStep("approve");
  cluster_.Approve(fmt::format("operator{}", random_.NextBelow(3)));
}

void RandomWalk::HealAll() {
  LogStep("heal");
  cluster_.peers().HealAll();
  cluster_.store().SetFault({});
  for (int i = 0; i < cluster_.options().services; ++i) {
    cluster_.services().Get(fakes::ServiceName(i)).SetFault({});
  }
  for (int i = 0; i < cluster_.options().engines; ++i) {
    cluster_.engines().Revive(fakes::EngineName(i));
  }
  for (const auto& [name, node] : cluster_.nodes()) {
    node->store().SetDropRequests(false);
    node->store().SetDropReplies(false);
  }
}

void RandomWalk::RecoverAndWait() {
  LogStep("recover and wait");
  HealAll();
  StartEntries();
  cluster_.Advance(kRecoveryTime);
}

}  // namespace kingcupdrift::scenarios
