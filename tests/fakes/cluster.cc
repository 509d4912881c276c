#include "tests/fakes/cluster.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "tests/fakes/cluster_names.h"

namespace kingcupdrift::fakes {
namespace {

constexpr Duration kPeerLatency = std::chrono::microseconds(500);
constexpr Duration kStartLimit = std::chrono::minutes(1);
/// Interval between checks of the entries' state.
constexpr Duration kEntryPollInterval = std::chrono::milliseconds(100);
constexpr std::uint16_t kCallerPort = 8080;
constexpr std::uint16_t kPeerPort = 7946;
constexpr int kFailureDomains = 3;
/// Factor of the cluster's seed, so that the entries of clusters with seeds n
/// and n + 1 get different seeds.
constexpr std::uint64_t kSeedStride = 1000;

std::string HostOf(const std::string& entry) {
  return fmt::format("10.0.0.{}", entry.front() - 'a' + 1);
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(options),
      store_(clock_),
      list_(options.list_lag, clock_),
      peers_(kPeerLatency, clock_),
      engines_(clock_),
      services_(clock_) {
  for (int i = 0; i < options_.engines; ++i) {
    EngineModelOptions engine;
    engine.id = EngineName(i);
    engine.memory = options_.engine_memory;
    engine.prefill_rate = options_.prefill_rate;
    engine.is_fencing_enforced = options_.is_fencing_enforced;
    engine.seed = options_.seed + static_cast<std::uint64_t>(i);
    engines_.Add(std::move(engine));
  }
}

Cluster::~Cluster() = default;

bool Cluster::Start() {
  Approve("first");
  for (int i = 0; i < options_.entries; ++i) {
    StartEntry(EntryName(i));
  }
  PollEntries();
  return AdvanceUntil(
      [this] {
        for (const auto& [name, node] : nodes_) {
          if (!node->entry().GetStatus().is_ready) {
            return false;
          }
        }
        return true;
      },
      kStartLimit);
}

void Cluster::Advance(Duration step) {
  clock_.Advance(step);
}

bool Cluster::AdvanceUntil(const std::function<bool()>& is_done,
                           Duration time_limit) {
  return clock_.AdvanceUntil(is_done, time_limit);
}

void Cluster::StartEntry(const std::string& name) {
  EntrySettings settings;
  settings.instance = InstanceId(name);
  settings.site = SiteId(kSiteName);
  settings.failure_domain = FailureDomain(
      fmt::format("d{}", (name.front() - 'a') % kFailureDomains + 1));
  settings.caller_endpoint = {HostOf(name), kCallerPort};
  settings.peer_endpoint = {HostOf(name), kPeerPort};
  settings.shared_secret = "secret";
  for (int i = 0; i < options_.entries; ++i) {
    if (EntryName(i) != name) {
      settings.seed_peers.push_back({HostOf(EntryName(i)), kPeerPort});
    }
  }
  const std::uint64_t seed =
      options_.seed * kSeedStride + static_cast<std::uint64_t>(name.front()) +
      static_cast<std::uint64_t>(clock_.Now().time_since_epoch().count());
  const ClusterNetwork network{clock_, store_,   list_,
                               peers_, engines_, services_};
  nodes_[name] = std::make_unique<ClusterNode>(settings, seed, network);
  list_.Set({settings.instance, settings.peer_endpoint, settings.failure_domain,
             /*is_leaving=*/false});
  nodes_[name]->entry().Start();
}

ClusterNode* Cluster::FindNode(const std::string& name) {
  const auto it = nodes_.find(name);
  return it == nodes_.end() ? nullptr : it->second.get();
}

void Cluster::KillEntry(const std::string& name) {
  if (FindNode(name) == nullptr) {
    return;
  }
  for (const auto& [id, call] : calls_) {
    if (call->entry == name && !call->record->is_ended()) {
      call->is_interrupted = true;
    }
  }
  FindNode(name)->CloseClients();
  nodes_.erase(name);
  RemoveFromList(name);
}

void Cluster::RemoveFromList(const std::string& name) {
  list_.Remove(InstanceId(name));
}

void Cluster::Freeze(const std::string& name) {
  if (ClusterNode* node = FindNode(name)) {
    node->clock().Freeze();
    for (const auto& [id, call] : calls_) {
      call->was_frozen |= call->entry == name && !call->record->is_ended();
    }
  }
}

void Cluster::Thaw(const std::string& name) {
  if (ClusterNode* node = FindNode(name)) {
    node->clock().Thaw();
  }
}

void Cluster::Drain(const std::string& name) {
  ClusterNode* node = FindNode(name);
  if (node == nullptr || node->drain_started_at) {
    return;
  }
  node->drain_started_at = clock_.Now();
  const EntrySettings& settings = node->settings();
  list_.Set({settings.instance, settings.peer_endpoint, settings.failure_domain,
             /*is_leaving=*/true});
  node->inbox().Post(Duration::zero(), [node] { node->entry().StartDrain(); });
}

void Cluster::PollEntries() {
  CheckGenerations();
  RemoveDrainedEntries();
  entry_poll_timer_ =
      clock_.RunAfter(kEntryPollInterval, [this] { PollEntries(); });
}

void Cluster::CheckGenerations() {
  for (const auto& [name, node] : nodes_) {
    const Generation current = node->entry().GetStatus().generation;
    if (current < node->generation) {
      AddViolation(fmt::format("entry {} went from generation {} back to {}",
                               name, node->generation.value(),
                               current.value()));
    }
    node->generation = std::max(node->generation, current);
  }
}

void Cluster::RemoveDrainedEntries() {
  std::vector<std::string> drained;
  for (const auto& [name, node] : nodes_) {
    if (node->drain_started_at && !node->clock().is_frozen() &&
        node->entry().IsDrained()) {
      drained.push_back(name);
    }
  }
  for (const std::string& name : drained) {
    KillEntry(name);
  }
}

void Cluster::AddViolation(const std::string& text) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now().time_since_epoch());
  violations_.push_back(fmt::format("{} ms: {}", now.count(), text));
}

}  // namespace kingcupdrift::fakes
