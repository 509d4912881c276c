#include "kingcupdrift/entry/internal/entry_impl.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace kingcupdrift {
namespace {

constexpr Logger kLog("entry");

/// Interval of updates of the store budget, capacity, metrics and time line.
constexpr Duration kTickInterval = std::chrono::seconds(1);
constexpr Duration kJournalSweepInterval = std::chrono::minutes(1);
/// Longest wait of a draining entry without requests for results that are not
/// durable yet. After it the process may exit before these results are stored;
/// the journal in the store then has only the intents of their keys, and
/// repeated calls end with outcome "unknown".
constexpr Duration kJournalDrainLimit = std::chrono::seconds(30);
/// Peers that receive gossip at once when a new configuration comes into force.
constexpr std::size_t kConfigFanout = 3;
/// Most workspaces whose usage one gossip message carries.
constexpr std::size_t kUsagePerGossip = 16;
/// Number of entries that compete for the placement lease.
constexpr std::size_t kLeaseCandidates = 3;
/// Key prefix of the lease whose holder sends placement orders.
constexpr const char* kPlacementLeaseKey = "/kingcupdrift/lease/placement/";

MemberRecord MakeSelfRecord(const EntrySettings& settings, const Clock& clock) {
  MemberRecord self;
  self.id = settings.instance;
  // Wall-clock milliseconds increase across restarts without stored state.
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock.WallNow().time_since_epoch());
  self.incarnation = Incarnation(now.count());
  self.peer_endpoint = settings.peer_endpoint;
  self.caller_endpoint = settings.caller_endpoint;
  self.failure_domain = settings.failure_domain;
  return self;
}

RouterSettings MakeRouterSettings(const EntrySettings& settings) {
  RouterSettings router;
  router.instance = settings.instance;
  router.failure_domain = settings.failure_domain;
  return router;
}

EventKind GetMemberEventKind(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return EventKind::kMemberJoined;
    case MemberState::kSuspect:
      return EventKind::kMemberSuspected;
    case MemberState::kLeaving:
      return EventKind::kMemberLeft;
    case MemberState::kDead:
      return EventKind::kMemberDied;
  }
  return EventKind::kMemberDied;
}

}  // namespace

Entry::Impl::Impl(EntrySettings settings, EntryDependencies dependencies)
    : settings_(std::move(settings)),
      dependencies_(dependencies),
      hybrid_clock_(dependencies.clock),
      events_(settings_.instance, hybrid_clock_),
      metered_store_(dependencies.store, metrics_),
      store_budget_(dependencies.clock, dependencies.random),
      journal_store_(dependencies.clock,
                     metered_store_,
                     store_budget_,
                     StorePriority::kJournal),
      config_store_(dependencies.clock,
                    metered_store_,
                    store_budget_,
                    StorePriority::kConfig),
      lease_store_(dependencies.clock,
                   metered_store_,
                   store_budget_,
                   StorePriority::kLease),
      membership_(MakeSelfRecord(settings_, dependencies.clock),
                  MembershipOptions(),
                  dependencies.clock,
                  dependencies.random,
                  hybrid_clock_,
                  dependencies.peers,
                  dependencies.instances),
      config_(settings_.site,
              dependencies.clock,
              dependencies.random,
              config_store_,
              [this](const Endpoint& peer, const ConfigRequestMessage& ask) {
                membership_.SendTo(peer, ask);
              }),
      router_(MakeRouterSettings(settings_),
              dependencies.clock,
              dependencies.random),
      admission_(dependencies.clock, settings_.instance),
      journal_(dependencies.clock, dependencies.random, journal_store_),
      reserver_(dependencies.clock,
                dependencies.random,
                dependencies.engines,
                settings_.instance),
      lease_(dependencies.clock,
             dependencies.random,
             lease_store_,
             kPlacementLeaseKey + settings_.site.value(),
             settings_.instance),
      placement_(dependencies.clock, dependencies.engines, lease_),
      sweeper_(dependencies.clock,
               dependencies.engines,
               *this,
               settings_.instance),
      load_balancer_(dependencies.clock, dependencies.random),
      dispatcher_(dependencies.clock),
      poller_(dependencies.clock,
              dependencies.random,
              dependencies.engines,
              router_,
              [this] { dispatcher_.ScheduleDispatch(); }),
      dispatch_note_sender_(dependencies.clock, membership_, router_),
      state_change_recorder_(store_budget_, router_, events_),
      requests_(dependencies.clock),
      context_{settings_,
               dependencies.clock,
               dependencies.random,
               dependencies.engines,
               dependencies.services,
               events_,
               metrics_,
               membership_,
               config_,
               router_,
               admission_,
               journal_,
               reserver_,
               dispatcher_,
               requests_,
               policies_,
               load_balancer_} {
  ConnectSignals();
}

Entry::Impl::~Impl() {
  dependencies_.peers.SetReceiver({});
}

void Entry::Impl::ConnectSignals() {
  membership_.SetFillGossip(
      [this](GossipMessage& gossip) { FillGossip(gossip); });
  membership_.signal_gossip_received().connect(
      [this](const InstanceId& sender, const GossipMessage& gossip) {
        OnGossip(sender, gossip);
      });
  membership_.signal_member_changed().connect(
      [this](const MemberRecord& record) { OnMemberChanged(record); });
  membership_.signal_asked_to_leave().connect([this] { StartDrain(); });
  config_.signal_applied().connect(
      [this](const SiteConfig& config) { OnConfigApplied(config); });
  dependencies_.peers.SetReceiver(
      [this](const PeerMessage& message) { OnPeerMessage(message); });
}

void Entry::Impl::Start() {
  membership_.Start(settings_.seed_peers);
  config_.Start();
  sweeper_.Start();
  placement_.Start();
  dispatch_note_sender_.Start();
  lease_.Start([this](bool is_held) {
    events_.Add(is_held ? EventKind::kLeaseTaken : EventKind::kLeaseLost,
                kPlacementLeaseKey);
  });
  Tick();
  SweepJournal();
}

void Entry::Impl::OnPeerMessage(const PeerMessage& message) {
  hybrid_clock_.Observe(message.time);
  const MemberRecord* sender = membership_.table().Find(message.sender);
  if (const auto* ask = std::get_if<ConfigRequestMessage>(&message.payload)) {
    if (sender != nullptr) {
      membership_.SendTo(sender->peer_endpoint, config_.BuildConfigReply(*ask));
    }
  } else if (const auto* reply =
                 std::get_if<ConfigReplyMessage>(&message.payload)) {
    config_.OnConfigReply(*reply);
  } else if (const auto* notes =
                 std::get_if<DispatchNotesMessage>(&message.payload)) {
    router_.OnDispatchNotes(notes->notes);
  } else {
    membership_.OnMessage(message);
  }
}

void Entry::Impl::OnGossip(const InstanceId& sender,
                           const GossipMessage& gossip) {
  admission_.OnPeerUsage(sender, gossip.usage);
  if (const MemberRecord* record = membership_.table().Find(sender)) {
    config_.OnPeerHead(gossip.generation, gossip.head_digest,
                       record->peer_endpoint);
  }
}

void Entry::Impl::OnMemberChanged(const MemberRecord& record) {
  events_.Add(GetMemberEventKind(record.state), record.id.value());
  Incarnation& known = peer_incarnations_[record.id];
  if (record.incarnation > known) {
    // The usage totals of a restarted instance begin at zero.
    known = record.incarnation;
    admission_.ForgetPeer(record.id);
  }
  if (record.state == MemberState::kDead) {
    kLog.Warning("Instance {} is marked dead.", record.id.value());
    admission_.ForgetPeer(record.id);
    peer_incarnations_.erase(record.id);
  }
}

void Entry::Impl::OnConfigApplied(const SiteConfig& config) {
  site_config_ = config;
  router_.ApplyConfig(site_config_);
  admission_.ApplyConfig(site_config_);
  policies_.ApplyConfig(site_config_);
  load_balancer_.ApplyConfig(site_config_);
  lookup_.ApplyConfig(site_config_);
  std::vector<EngineAddress> subset = router_.Subset();
  // Engines of plain services have neither load reports nor holdings.
  std::erase_if(subset, [this](const EngineAddress& engine) {
    const ServiceId& service = site_config_.engines.at(engine.id).service;
    return site_config_.services.at(service).kind != ServiceKind::kModel;
  });
  sweeper_.SetEngines(subset);
  poller_.SetEngines(std::move(subset));
  placement_.SetConfig(site_config_);
  UpdateCapacity();
  events_.Add(EventKind::kConfigurationApplied,
              fmt::format("generation {}", config.generation.value()));
  kLog.Info("Configuration generation {} is in force.",
            config.generation.value());
  metrics_.SetGeneration(config.generation);
  membership_.SetGeneration(config.generation);
  membership_.GossipNow(kConfigFanout);
  dispatcher_.ScheduleDispatch();
}

void Entry::Impl::FillGossip(GossipMessage& gossip) {
  gossip.generation = config_.generation();
  gossip.head_digest = config_.digest();
  gossip.usage = admission_.CollectLocalUsage(kUsagePerGossip);
}

void Entry::Impl::UpdateStoreBudgetAndLease() {
  std::vector<InstanceId> serving;
  for (const MemberRecord& it : membership_.ListServingMembers()) {
    serving.push_back(it.id);
  }
  store_budget_.SetEntryCount(serving.size());
  const std::vector<InstanceId> candidates =
      SelectRendezvousMembers(kPlacementLeaseKey, serving, kLeaseCandidates);
  lease_.SetCandidate(std::find(candidates.begin(), candidates.end(),
                                settings_.instance) != candidates.end());
}

void Entry::Impl::Tick() {
  UpdateStoreBudgetAndLease();
  UpdateCapacity();
  UpdateMetrics();
  state_change_recorder_.Check();
  UpdateIdleSince();
  tick_timer_ = dependencies_.clock.RunAfter(kTickInterval, [this] { Tick(); });
}

void Entry::Impl::UpdateIdleSince() {
  if (!drain_started_at_ || requests_.size() > 0) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = dependencies_.clock.Now();
  }
}

void Entry::Impl::UpdateCapacity() {
  // All serving entries share the engines' prefill rate.
  const auto entries = static_cast<double>(
      std::max<std::size_t>(1, membership_.ListServingMembers().size()));
  for (const auto& [id, service] : site_config_.services) {
    if (service.kind == ServiceKind::kModel) {
      admission_.SetFallbackDrainRate(
          id, router_.GetServiceLoad(id).prefill_rate / entries);
    }
  }
}

void Entry::Impl::UpdateMetrics() {
  metrics_.SetRequestsInProgress(requests_.size());
  for (const auto& [id, service] : site_config_.services) {
    metrics_.SetRequestsQueued(id, dispatcher_.Size(id));
  }
  const MemberTable& table = membership_.table();
  metrics_.SetMembers(table.ListByState(MemberState::kAlive).size(),
                      table.ListByState(MemberState::kSuspect).size(),
                      table.ListByState(MemberState::kLeaving).size());
  metrics_.SetDroppedEvents(events_.dropped());
}

void Entry::Impl::SweepJournal() {
  const std::vector<InstanceId> live = LiveInstances();
  journal_.SweepExpired([this, &live](const std::string& shard_key) {
    const auto owner = SelectRendezvousMembers(shard_key, live, 1);
    return !owner.empty() && owner.front() == settings_.instance;
  });
  sweep_timer_ = dependencies_.clock.RunAfter(kJournalSweepInterval,
                                              [this] { SweepJournal(); });
}

std::vector<InstanceId> Entry::Impl::LiveInstances() const {
  std::vector<InstanceId> live = membership_.table().ListNotDead();
  live.push_back(settings_.instance);
  return live;
}

bool Entry::Impl::IsInUse(const AttemptId& attempt) const {
  return requests_.IsInUse(attempt);
}

EntriesAnswer Entry::Impl::ListEntries(const WorkspaceId& workspace) const {
  EntriesAnswer answer;
  answer.lifetime = settings_.entries_lifetime;
  const std::vector<MemberRecord> ranked = RankEntries(
      workspace, membership_.ListServingMembers(), dependencies_.random);
  for (const MemberRecord& it : ranked) {
    answer.entries.push_back(it.caller_endpoint);
  }
  return answer;
}

EntryStatus Entry::Impl::GetStatus() const {
  EntryStatus status;
  status.instance = settings_.instance;
  status.site = settings_.site;
  status.failure_domain = settings_.failure_domain;
  status.incarnation = membership_.self().incarnation;
  status.is_leaving = drain_started_at_.has_value();
  status.is_ready = config_.current() != nullptr && !status.is_leaving;
  status.generation = config_.generation();
  status.head_digest = config_.digest();
  status.in_force_since = config_.in_force_since();
  status.requests_in_progress = requests_.size();
  return status;
}

void Entry::Impl::StartDrain() {
  if (drain_started_at_) {
    return;
  }
  drain_started_at_ = dependencies_.clock.Now();
  kLog.Info("Draining; {} requests are in progress.", requests_.size());
  events_.Add(EventKind::kDrainStarted, "");
  membership_.StartLeaving();
  lease_.Stop();
}

bool Entry::Impl::IsDrained() const {
  if (!drain_started_at_) {
    return false;
  }
  // Callers may use a cached list that names this entry; redirect them until
  // it expires.
  const MonotonicTime now = dependencies_.clock.Now();
  const bool are_cached_lists_expired =
      now - *drain_started_at_ >= settings_.entries_lifetime;
  if (!are_cached_lists_expired || requests_.size() > 0) {
    return false;
  }
  const bool is_all_durable = journal_.pending() == 0 && reserver_.size() == 0;
  return is_all_durable ||
         (idle_since_ && now - *idle_since_ >= kJournalDrainLimit);
}

std::string Entry::Impl::GetMetricsText() const {
  return metrics_.ToPrometheusText();
}

std::string Entry::Impl::GetTimelineJson(
    const std::string& request_filter,
    const std::string& workspace_filter) const {
  return events_.ToJsonLines(EventFilter{request_filter, workspace_filter});
}

}  // namespace kingcupdrift
