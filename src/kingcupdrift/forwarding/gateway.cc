#include "kingcupdrift/forwarding/gateway.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "kingcupdrift/forwarding/internal/config_applier.h"
#include "kingcupdrift/forwarding/internal/gateway_metrics.h"
#include "kingcupdrift/forwarding/internal/quarantine_records.h"
#include "kingcupdrift/forwarding/internal/store_sharing.h"
#include "kingcupdrift/store/store.h"

namespace kingcupdrift {
namespace {

const Logger kLog("gateway");

/// Prefix of the keys under which entries store their records.
constexpr std::string_view kEntryPrefix = "kingcupdrift/entries/";
/// An empty prefix: one watch covers operators' documents, targets and entries.
constexpr std::string_view kAllKeys;

constexpr double kRateAveragingSeconds = 2;

ForwarderSettings ForwarderSettingsOf(const GatewaySettings& settings) {
  return {settings.own.id,       settings.own.failure_domain,
          settings.budget,       settings.cold_bound,
          settings.memory_limit, settings.event_version_field};
}

class GatewayImpl : public Gateway, public PeerStateObserver {
 public:
  GatewayImpl(const GatewaySettings& settings, const GatewayDependencies& deps)
      : deps_(deps),
        forwarder_(Forwarder::Create(
            ForwarderSettingsOf(settings),
            {deps.clock, deps.random, deps.targets, deps.log})),
        peer_exchange_(deps.clock, deps.peers, settings.own, *this),
        mirror_(deps.store,
                deps.clock,
                deps.random,
                std::string(kAllKeys),
                [this](const MirrorEvent& event) { HandleStoreEvent(event); }),
        entry_key_(deps.store,
                   deps.clock,
                   deps.random,
                   std::string(kEntryPrefix),
                   EncodeEntryRecord(settings.own)),
        config_applier_(
            deps.clock,
            deps.decoder,
            deps.log,
            [this](ServingConfig config) { ApplyConfig(std::move(config)); }),
        quarantine_records_(deps.store, deps.clock),
        election_(deps.clock,
                  {settings.own.id, settings.own.failure_domain, false,
                   settings.own.cores}) {
    // The election decides; before it only the first listing is needed.
    mirror_.SetReading(false, false);
    forwarder_->SetWorkListener(
        [this](const WorkNote& note) { peer_exchange_.BroadcastWork(note); });
    forwarder_->SetSuspectListener([this](const EngineId& engine) {
      peer_exchange_.BroadcastSuspect(engine);
    });
    forwarder_->SetLeavingListener([this](const LeavingEngine& engine) {
      peer_exchange_.BroadcastLeaving(engine);
    });
    forwarder_->SetLimitListener([this](const EngineLimit& limit) {
      peer_exchange_.BroadcastLimit(limit);
    });
    forwarder_->SetCrashEvidenceListener([this](const CrashEvidence& evidence) {
      peer_exchange_.BroadcastCrashEvidence(evidence);
    });
    forwarder_->SetCutOffListener([this] { peer_exchange_.BroadcastState(); });
    mirror_.SetReachabilityListener(
        [this] { peer_exchange_.BroadcastState(); });
    mirror_.SetEraListener([this](StoreEra era) { HandleNewEra(era); });
  }

  void Start() override {
    mirror_.Start();
    entry_key_.Start();
    peer_exchange_.Start();
  }

  void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) override {
    ++requests_since_update_;
    forwarder_->Handle(std::move(call), std::move(sink));
  }

  bool IsReady() const override {
    return !is_draining_ && mirror_.IsComplete() &&
           forwarder_->config() != nullptr;
  }

  std::vector<Endpoint> ListCallerEndpoints() const override {
    return peer_exchange_.ListCallerEndpoints();
  }

  void SetLimitsListener(
      std::function<void(const CallerLimits&)> listener) override {
    limits_listener_ = std::move(listener);
  }

  void StartDraining(Duration limit) override {
    is_draining_ = true;
    forwarder_->SetStopDeadline(deps_.clock.Now() + limit);
    // This entry's record stays in the store, so that the others still get its
    // work notes.
    peer_exchange_.BroadcastState();
  }

  void Deregister() override {
    forwarder_->RefuseNewRequests();
    entry_key_.Stop();
  }

  void EndRequests() override { forwarder_->EndRequests(); }

  bool IsDraining() const override { return is_draining_; }

  std::size_t CountRequestsInProgress() const override {
    return forwarder_->CountRequestsInProgress();
  }

  HeldBytes GetHeldBytes() const override { return forwarder_->GetHeldBytes(); }

  std::string GetMetricsText() const override {
    GatewayMetrics metrics = metrics_;
    store_sharing_.ReportTo(metrics);
    metrics.entries = peer_exchange_.CountEntries();
    metrics.store_read_faults = deps_.store.GetReadFaults();
    metrics.store_position = mirror_.position();
    metrics.is_store_reader = mirror_.IsStoreReachable();
    metrics.is_first_reader = election_.is_first_reader();
    metrics.is_serving = peer_exchange_.is_serving();
    return forwarder_->GetMetricsText() + FormatGatewayMetrics(metrics);
  }

  void OnPeerWork(const InstanceId& owner, const WorkNote& note) override {
    forwarder_->ApplyPeerWork(owner, note);
  }

  void OnSuspectReported(const EngineId& engine) override {
    forwarder_->CheckSuspect(engine);
  }

  void OnLeavingReported(const LeavingEngine& engine) override {
    forwarder_->ApplyLeaving(engine);
  }

  std::vector<LeavingEngine> ListLeavingEngines() const override {
    return forwarder_->ListLeavingEngines();
  }

  void OnLimitReported(const EngineLimit& limit) override {
    forwarder_->ApplyLimit(limit);
  }

  std::vector<EngineLimit> ListLimits() const override {
    return forwarder_->ListLimits();
  }

  void OnCrashEvidence(const CrashEvidence& evidence) override {
    forwarder_->ApplyCrashEvidence(evidence);
    if (peer_exchange_.is_serving()) {
      forwarder_->CheckReportedCrashes(evidence);
    }
  }

  CrashEvidence ListCrashEvidence(Duration max_age) const override {
    return forwarder_->ListCrashEvidence(max_age);
  }

  std::vector<WorkNote> ListLocalWork() const override {
    return forwarder_->ListLocalWork();
  }

  void OnPeerWorkReset(const InstanceId& entry) override {
    forwarder_->DiscardPeerWork(entry);
    forwarder_->SetEntryCount(peer_exchange_.CountLimitShares());
  }

  LocalEntryState GetLocalState() const override {
    return {mirror_.position(),     mirror_.IsStoreReachable(),
            mirror_.IsListing(),    is_draining_,
            forwarder_->IsCutOff(), requests_per_second_};
  }

  StoreStateReplyMessage StateAfter(
      const StoreStateRequestMessage& request) override {
    return store_sharing_.AnswerPeer(request);
  }

  std::optional<StoreStateReplyMessage> TakeStoreChanges() override {
    if (!election_.is_first_reader() || !store_sharing_.HasNewChanges()) {
      return std::nullopt;
    }
    return store_sharing_.TakeChanges(peer_exchange_.CountEntries());
  }

  void OnPeersChecked(const std::vector<ReaderCandidate>& recent,
                      bool is_serving) override {
    UpdateRequestRate();
    UpdateListState();
    forwarder_->SetEntryCount(peer_exchange_.CountLimitShares());
    forwarder_->SetSendingEntries(peer_exchange_.ListSendingEntries());
    forwarder_->SetRelayPeers(peer_exchange_.ListRelayPeers());
    election_.Update(recent, mirror_.IsStoreReachable(), is_serving);
    if (election_.is_first_reader() && store_sharing_.HasNewChanges()) {
      peer_exchange_.BroadcastStoreChanges();
    }
    // An entry that reaches no engine can't refute what it believes of them.
    if (election_.is_first_reader() && !forwarder_->IsCutOff()) {
      quarantine_records_.Write(forwarder_->ListQuarantined());
    }
    if (election_.should_read() == mirror_.is_reading()) {
      return;
    }
    mirror_.SetReading(election_.should_read(), election_.has_healthy_reader());
    deps_.log.Add("gateway", "store_reader")
        .Text("state", election_.should_read() ? "reads" : "follows")
        .Number("recent_peers", static_cast<std::int64_t>(recent.size()))
        .Text("other_reader", election_.has_healthy_reader() ? "yes" : "no")
        .Number("version", mirror_.version().value());
  }

  PeerStateResult OnState(const StoreStateReplyMessage& state) override {
    return mirror_.ApplyPeerState(state);
  }

 private:
  // Moving average that forgets most of a burst within some seconds.
  void UpdateRequestRate() {
    const MonotonicTime now = deps_.clock.Now();
    const double seconds =
        std::chrono::duration<double>(now - rate_updated_at_).count();
    if (seconds <= 0) {
      return;
    }
    const double weight = std::min(1.0, seconds / kRateAveragingSeconds);
    requests_per_second_ +=
        weight * (requests_since_update_ / seconds - requests_per_second_);
    requests_since_update_ = 0;
    rate_updated_at_ = now;
  }

  // The events of the first listing come before the copy counts as complete.
  void UpdateListState() {
    if (mirror_.IsComplete()) {
      forwarder_->SetTargetListComplete();
    }
  }

  void HandleStoreEvent(const MirrorEvent& event) {
    UpdateListState();
    if (election_.is_first_reader()) {
      peer_exchange_.BroadcastStoreChanges();
    }
    if (event.key.starts_with(kEntryPrefix)) {
      HandleEntryRecord(event);
      return;
    }
    if (event.key.starts_with(QuarantineRecords::kPrefix)) {
      const WorkKey key = quarantine_records_.Apply(event.key, event.value);
      if (!key.empty()) {
        forwarder_->ApplyQuarantineRecord(key, event.value.has_value());
      }
      return;
    }
    switch (deps_.decoder.ClassifyKey(event.key)) {
      case ItemKind::kConfig:
        HandleConfig(event);
        return;
      case ItemKind::kTarget:
        HandleTargetRecord(event);
        return;
      case ItemKind::kEvacuation:
        forwarder_->SetEvacuated(deps_.decoder.ParseEvacuatedDomain(event.key),
                                 event.value.has_value());
        return;
      case ItemKind::kOther:
        return;
    }
  }

  void HandleEntryRecord(const MirrorEvent& event) {
    if (!event.value) {
      peer_exchange_.Remove(event.key, !mirror_.IsSettling());
    } else if (const auto record = DecodeEntryRecord(event.value->value)) {
      using Source = PeerStateExchange::RecordSource;
      peer_exchange_.Update(
          event.key, *record, event.position,
          event.is_restored ? Source::kRestored : Source::kWritten);
    } else {
      ++metrics_.rejected_records;
      kLog.Warning("Ignored the entry record {}: {}.", event.key,
                   record.error().detail);
    }
    forwarder_->SetEntryCount(peer_exchange_.CountLimitShares());
  }

  void HandleConfig(const MirrorEvent& event) {
    if (!event.value) {
      kLog.Warning(
          "The configuration was deleted from the store; the last one stays in "
          "use.");
      return;
    }
    config_applier_.Update(event);
  }

  void ApplyConfig(ServingConfig config) {
    forwarder_->ApplyConfig(std::move(config));
    if (limits_listener_) {
      limits_listener_(forwarder_->config()->limits);
    }
  }

  void HandleTargetRecord(const MirrorEvent& event) {
    const EngineId id = deps_.decoder.ParseTargetId(event.key);
    if (!event.value) {
      deps_.log.Add("gateway", "target_removed")
          .Text("target", id.value())
          .Number("store_version", event.position.version.value())
          .Text("source", GetSourceName(event.source))
          .Text("settling", mirror_.IsSettling() ? "yes" : "no");
      forwarder_->RemoveTarget(id, !mirror_.IsSettling());
      return;
    }
    const Result<TargetRecord> record =
        deps_.decoder.DecodeTarget(event.key, event.value->value);
    if (!record) {
      ++metrics_.rejected_records;
      kLog.Warning("Removed the target of {}: the record is not usable: {}.",
                   event.key, record.error().detail);
      forwarder_->RemoveTarget(id, true);
      return;
    }
    if (event.is_restored) {
      forwarder_->RestoreTarget(*record);
    } else {
      forwarder_->UpdateTarget(*record);
    }
  }

  void HandleNewEra(StoreEra era) {
    ++metrics_.store_restores;
    deps_.log.Add("gateway", "store_era")
        .Number("era", era.value())
        .Number("version", mirror_.version().value());
    entry_key_.WriteAgain();
  }

  GatewayDependencies deps_;
  std::unique_ptr<Forwarder> forwarder_;
  PeerStateExchange peer_exchange_;
  StoreMirror mirror_;
  StoreSharing store_sharing_{deps_.clock, mirror_, deps_.log};
  LeasedKey entry_key_;
  ConfigApplier config_applier_;
  QuarantineRecords quarantine_records_;
  ReaderElection election_;
  double requests_per_second_ = 0;
  double requests_since_update_ = 0;
  MonotonicTime rate_updated_at_{};
  bool is_draining_ = false;
  GatewayMetrics metrics_;
  std::function<void(const CallerLimits&)> limits_listener_;
};

}  // namespace

std::unique_ptr<Gateway> Gateway::Create(const GatewaySettings& settings,
                                         const GatewayDependencies& deps) {
  return std::make_unique<GatewayImpl>(settings, deps);
}

}  // namespace kingcupdrift
