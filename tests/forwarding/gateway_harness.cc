#include "tests/forwarding/gateway_harness.h"

#include <doctest/doctest.h>

#include <sstream>
#include <utility>

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kCallerPort = 8000;
/// Time until the entries know each other and their readers are chosen.
constexpr Duration kStartTime = seconds(3);
/// As on the users' platform: longest wait of a watch, and the same with the
/// margin after it.
constexpr Duration kWatchIdleTime = milliseconds(700);
constexpr Duration kWatchTimeout = 2 * kWatchIdleTime;

}  // namespace

FakeStoreOptions MakeStoreOptions() {
  FakeStoreOptions options;
  options.watch_timeout = kWatchTimeout;
  options.watch_idle_time = kWatchIdleTime;
  return options;
}

ItemKind TextDecoder::ClassifyKey(const std::string& key) const {
  if (key == "config") {
    return ItemKind::kConfig;
  }
  if (key.starts_with("evacuate/")) {
    return ItemKind::kEvacuation;
  }
  return key.starts_with("targets/") ? ItemKind::kTarget : ItemKind::kOther;
}

EngineId TextDecoder::ParseTargetId(const std::string& key) const {
  return EngineId(key.substr(key.find('/') + 1));
}

FailureDomain TextDecoder::ParseEvacuatedDomain(const std::string& key) const {
  return FailureDomain(key.substr(key.find('/') + 1));
}

Result<ServingConfig> TextDecoder::DecodeConfig(
    const std::string& value) const {
  std::istringstream words(value);
  std::int64_t version = 0;
  words >> version;
  ServingConfig config = ForwardingHarness::Config();
  config.version = Generation(version);
  config.workspace_of_key.clear();
  for (std::string key; words >> key;) {
    if (key == "cold") {
      for (auto& [id, service] : config.services) {
        service.cold_time = seconds(3);
        service.cold_requests_per_second = 14;
      }
      continue;
    }
    config.workspace_of_key[key] = WorkspaceId("workspace");
  }
  return config;
}

Result<TargetRecord> TextDecoder::DecodeTarget(const std::string& key,
                                               const std::string& value) const {
  std::istringstream words(value);
  std::string state;
  std::int64_t incarnation = 0;
  std::string service = "plain";
  std::string domain;
  words >> state >> incarnation >> service >> domain;

  TargetRecord record;
  record.address = {
      ParseTargetId(key), {"10.0.9.1", 80}, Incarnation(incarnation)};
  record.service = ServiceId(service.empty() ? "plain" : service);
  record.failure_domain = FailureDomain(domain);
  record.slots = 100;
  record.is_draining = state == "draining";
  return record;
}

GatewayNode::GatewayNode(int number,
                         const std::string& name,
                         Clock& clock,
                         Random& random,
                         std::unique_ptr<FakeStore> store_client,
                         FakePeerNetwork& network,
                         const StateDecoder& decoder,
                         double cores)
    : endpoint{"10.0.0." + std::to_string(number), kPeerPort},
      owned_store(std::move(store_client)),
      store(*owned_store),
      link(endpoint, network, clock),
      log(clock,
          [this](std::string_view bytes) {
            log_text += bytes;
            return bytes.size();
          }),
      gateway(Gateway::Create(
          {{InstanceId(name + std::to_string(number)),
            endpoint,
            {endpoint.host, kCallerPort},
            FailureDomain(number % 2 == 0 ? "a" : "b"),
            cores},
           {0.2, 100},
           ColdBound{1.5, 5}},
          {clock, random, store, link, targets, decoder, log})) {}

GatewayNode::GatewayNode(int number,
                         const std::string& name,
                         Clock& clock,
                         Random& random,
                         StoreModel& model,
                         FakePeerNetwork& network,
                         const StateDecoder& decoder)
    : GatewayNode(number,
                  name,
                  clock,
                  random,
                  std::make_unique<FakeStore>(MakeStoreOptions(), model, clock),
                  network,
                  decoder) {}

std::string GatewayNode::Metric(const std::string& name) const {
  const std::string text = gateway->GetMetricsText();
  const std::string line = "\n" + name + " ";
  const std::size_t begin = text.find(line) + line.size();
  return text.substr(begin, text.find('\n', begin) - begin);
}

std::string GatewayNode::Ask(const std::string& key) {
  const std::size_t sends = targets.sends.size();
  ForwardCall call = ForwardingHarness::Call("/safe/x");
  call.key = key;
  auto record = std::make_shared<CallerRecord>();
  gateway->Handle(std::move(call), MakeRecordingSink(record));
  if (targets.sends.size() > sends) {
    return "sent";
  }
  return record->refusal ? std::string(GetRefusalName(record->refusal->type))
                         : "waits";
}

bool GatewayNode::IsUsed(const std::string& id) {
  REQUIRE(Ask("kept") == "sent");
  const auto send = targets.sends.back();
  TargetResponseHead head;
  head.status = 200;
  head.request = send->request;
  head.is_signed = true;
  send->observer->OnResponseHead(head);
  send->observer->OnEnd();
  return send->target.id == EngineId(id);
}

bool GatewayNode::IsFirstReader() const {
  return Metric("kingcupdrift_store_first_reader") == "1";
}

void GatewayNode::Kill() {
  is_running = false;
  store.Close();
  link.Close();
}

GatewayHarness::GatewayHarness(int count, Duration peer_delay)
    : network(peer_delay, clock) {
  model.SetEra(StoreEra(1));
  Put("config", "1 old kept");
  Put("targets/t1", "ready 7");
  AddNodes(count, "entry-");
  clock.Advance(kStartTime);
}

void GatewayHarness::AddNodes(int count, const std::string& name) {
  for (int i = 1; i <= count; ++i) {
    AddNode(i, name);
  }
}

void GatewayHarness::AddNode(int number, const std::string& name) {
  nodes.push_back(std::make_unique<GatewayNode>(number, name, clock, random,
                                                model, network, decoder));
  nodes.back()->gateway->Start();
}

void GatewayHarness::Put(const std::string& key, const std::string& value) {
  const auto old = model.Get(key);
  REQUIRE(model.CompareAndSwap(key, old ? old->version : StoreVersion(), value,
                               LeaseId()));
}

void GatewayHarness::Delete(const std::string& key) {
  REQUIRE(model.CompareAndDelete(key, model.Get(key)->version));
}

void GatewayHarness::RestoreStore(const StoreModel::Snapshot& snapshot) {
  model.SetFault({true});
  clock.Advance(milliseconds(700));
  model.Restore(snapshot);
  model.SetFault({});
}

std::size_t GatewayHarness::CountEntryRecords() {
  return model.List("kingcupdrift/entries/").size();
}

}  // namespace kingcupdrift::fakes
