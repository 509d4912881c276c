#include "kingcupdrift/forwarding/gateway.h"

#include <utility>

#include "kingcupdrift/store/store.h"

namespace kingcupdrift {
namespace {

const Logger kLog("gateway");

/// Keys of the entries' own records.
constexpr std::string_view kEntryPrefix = "kingcupdrift/entries/";
/// One watch follows everything: operators' documents, targets and entries.
constexpr std::string_view kAllKeys;

ForwarderSettings ForwarderSettingsOf(const GatewaySettings& settings) {
  return {settings.own.id, settings.own.failure_domain, settings.budget};
}

class GatewayImpl : public Gateway, public EntryBoardObserver {
 public:
  GatewayImpl(const GatewaySettings& settings, const GatewayDependencies& deps)
      : deps_(deps),
        forwarder_(Forwarder::Create(
            ForwarderSettingsOf(settings),
            {deps.clock, deps.random, deps.targets, deps.log})),
        board_(deps.clock, deps.peers, settings.own, *this),
        mirror_(deps.store,
                deps.clock,
                deps.random,
                std::string(kAllKeys),
                [this](const StoreEvent& event) { TakeEvent(event); }),
        own_key_(deps.store,
                 deps.clock,
                 deps.random,
                 std::string(kEntryPrefix),
                 EncodeEntryRecord(settings.own)) {
    forwarder_->OnWorkSent(
        [this](const WorkNote& note) { board_.Announce(note); });
    forwarder_->OnEngineSuspected(
        [this](const EngineId& engine) { board_.AnnounceSuspect(engine); });
  }

  void Start() override {
    mirror_.Start();
    own_key_.Start();
    board_.Start();
  }

  void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) override {
    forwarder_->Handle(std::move(call), std::move(sink));
  }

  bool IsReady() const override {
    return !is_leaving_ && mirror_.IsComplete() &&
           forwarder_->config() != nullptr;
  }

  std::vector<Endpoint> CallerEndpoints() const override {
    return board_.CallerEndpoints();
  }

  void OnLimits(std::function<void(const CallerLimits&)> listener) override {
    limits_listener_ = std::move(listener);
  }

  void StartLeaving(Duration limit) override {
    is_leaving_ = true;
    forwarder_->StopBy(deps_.clock.Now() + limit);
    // The own key stays: others must still hear of the work that goes on here.
    board_.AnnounceState();
  }

  void Finish() override {
    forwarder_->RefuseNew();
    own_key_.Stop();
  }

  bool IsLeaving() const override { return is_leaving_; }

  std::size_t RequestsInProgress() const override {
    return forwarder_->RequestsInProgress();
  }

  std::string MetricsText() const override { return forwarder_->MetricsText(); }

  void OnWork(const InstanceId& owner, const WorkNote& note) override {
    forwarder_->ApplyPeerWork(owner, note);
  }

  void OnSuspicion(const EngineId& engine) override {
    forwarder_->HearSuspicion(engine);
  }

  std::vector<WorkNote> OwnWork() const override {
    return forwarder_->OwnWork();
  }

  void OnEntryLost(const InstanceId& entry) override {
    forwarder_->RemovePeer(entry);
  }

  OwnState CurrentState() const override {
    return {mirror_.version(), mirror_.HasStore(), is_leaving_};
  }

  StoreStateReplyMessage StateAfter(StoreVersion version) const override {
    return mirror_.StateAfter(version);
  }

  void OnState(const StoreStateReplyMessage& state) override {
    mirror_.ApplyState(state);
  }

 private:
  void TakeEvent(const StoreEvent& event) {
    if (event.key.starts_with(kEntryPrefix)) {
      TakeEntry(event);
      return;
    }
    switch (deps_.decoder.KindOf(event.key)) {
      case ItemKind::kConfig:
        TakeConfig(event);
        return;
      case ItemKind::kTarget:
        TakeTarget(event);
        return;
      case ItemKind::kOther:
        return;
    }
  }

  void TakeEntry(const StoreEvent& event) {
    if (!event.value) {
      board_.Remove(event.key);
    } else if (const auto record = DecodeEntryRecord(event.value->value)) {
      board_.Update(event.key, *record, event.version);
    } else {
      kLog.Warning("{}: {}.", event.key, record.error().detail);
    }
    forwarder_->SetEntryCount(board_.EntryCount());
  }

  void TakeConfig(const StoreEvent& event) {
    if (!event.value) {
      kLog.Warning("The configuration is gone; the last one stays in use.");
      return;
    }
    Result<ServingConfig> config =
        deps_.decoder.DecodeConfig(event.value->value);
    if (!config) {
      kLog.Error("The configuration cannot be used: {}.",
                 config.error().detail);
      return;
    }
    forwarder_->UseConfig(*std::move(config));
    if (limits_listener_) {
      limits_listener_(forwarder_->config()->limits);
    }
  }

  void TakeTarget(const StoreEvent& event) {
    const EngineId id = deps_.decoder.TargetOf(event.key);
    if (!event.value) {
      forwarder_->RemoveTarget(id, !mirror_.IsSettling());
      return;
    }
    const Result<TargetRecord> record =
        deps_.decoder.DecodeTarget(event.key, event.value->value);
    if (!record) {
      kLog.Warning("{} names no target: {}.", event.key, record.error().detail);
      forwarder_->RemoveTarget(id, true);
      return;
    }
    forwarder_->UpdateTarget(*record);
  }

  GatewayDependencies deps_;
  std::unique_ptr<Forwarder> forwarder_;
  EntryBoard board_;
  StoreMirror mirror_;
  LeasedKey own_key_;
  bool is_leaving_ = false;
  std::function<void(const CallerLimits&)> limits_listener_;
};

}  // namespace

std::unique_ptr<Gateway> Gateway::Create(const GatewaySettings& settings,
                                         const GatewayDependencies& deps) {
  return std::make_unique<GatewayImpl>(settings, deps);
}

}  // namespace kingcupdrift
