#include "kingcupdrift/forwarding/forwarder.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "kingcupdrift/forwarding/internal/forward_context.h"
#include "kingcupdrift/forwarding/internal/forward_request.h"
#include "kingcupdrift/forwarding/internal/forwarding_metrics.h"

namespace kingcupdrift {
namespace {

class ForwarderImpl : public Forwarder, public EngineNoticeObserver {
 public:
  ForwarderImpl(const ForwarderSettings& settings,
                const ForwarderDependencies& dependencies)
      : context_(settings, dependencies), deferred_(dependencies.clock) {
    context_.work_listener = [](const WorkNote&) {};
    SetSuspectListener([](const EngineId&) {});
    context_.targets.SetNoticeObserver(*this);
    context_.reachability.SetListener([this] { HandleReachabilityChange(); });
  }

  void Handle(ForwardCall call, std::unique_ptr<ForwardSink> sink) override {
    const std::uint64_t number = next_request_++;
    auto request = std::make_unique<ForwardRequest>(
        context_, std::move(call), std::move(sink),
        [this, number] { Retire(number); });
    ForwardRequest& started = *request;
    requests_[number] = std::move(request);
    started.Start();
  }

  void ApplyConfig(ServingConfig config) override {
    if (context_.table && config.version <= context_.table->config().version) {
      return;
    }
    context_.log.Add("forward", "config")
        .Number("version", config.version.value())
        .Number("routes", static_cast<std::int64_t>(config.routes.size()))
        .Number("keys",
                static_cast<std::int64_t>(config.workspace_of_key.size()));
    context_.rate_limiter.SetColdLimits(
        MakeColdLimits(config, context_.settings.cold_bound));
    context_.table = std::make_shared<const RouteTable>(std::move(config));
  }

  const ServingConfig* config() const override {
    return context_.table ? &context_.table->config() : nullptr;
  }

  void UpdateTarget(const TargetRecord& record) override {
    context_.log.Add("forward", "target")
        .Text("target", record.address.id.value())
        .Text("service", record.service.value())
        .Text("state", record.is_draining ? "leaving" : "ready");
    ForgetEarlierProcess(record);
    context_.directory.Update(record);
    UpdateColdState(record, false);
    // Targets write their own records, so a new one shows that the target runs.
    context_.health.OnSuccess(record.address.id);
    context_.queue.Wake();
  }

  void RestoreTarget(const TargetRecord& record) override {
    ForgetEarlierProcess(record);
    context_.directory.Restore(record);
    UpdateColdState(record, true);
    context_.log.Add("forward", "target")
        .Text("target", record.address.id.value())
        .Text("service", record.service.value())
        .Text("state", context_.directory.IsUsable(record.address.id)
                           ? "restored"
                           : "restored, not used");
    context_.queue.Wake();
  }

  void SetLeavingListener(LeavingListener listener) override {
    leaving_listener_ = std::move(listener);
  }

  void ApplyLeaving(const LeavingEngine& engine) override {
    if (context_.directory.MarkLeaving(engine)) {
      LogLeaving(engine, "entry");
    }
  }

  std::vector<LeavingEngine> ListLeavingEngines() const override {
    return context_.directory.ListLeaving();
  }

  void OnEngineNotice(const EngineAddress& engine,
                      const EngineNotice& notice) override {
    const LeavingEngine leaving{engine.id, engine.incarnation};
    if (notice.is_leaving && context_.directory.MarkLeaving(leaving)) {
      LogLeaving(leaving, "engine");
      leaving_listener_(leaving);
    }
    if (notice.tells_limit && IsListed(engine)) {
      const EngineLimit limit{engine.id, engine.incarnation,
                              notice.requests_per_second, Duration::zero()};
      if (context_.rate_limiter.Update(limit)) {
        LogLimit(limit, "engine");
        limit_listener_(limit);
      }
    }
    if (notice.cold_left &&
        context_.rate_limiter.UpdateColdTime(engine, *notice.cold_left)) {
      LogCold(engine.id, "engine");
    }
    if (notice.pause > Duration::zero() && IsListed(engine)) {
      context_.health.Pause(engine.id, notice.pause);
      ++context_.pauses;
      context_.log.Add("forward", "pause")
          .Text("target", engine.id.value())
          .Milliseconds("asked", notice.pause)
          .Milliseconds("pause", context_.health.GetPauseLeft(engine.id));
    }
  }

  void SetLimitListener(LimitListener listener) override {
    limit_listener_ = std::move(listener);
  }

  void ApplyLimit(const EngineLimit& limit) override {
    if (context_.rate_limiter.Update(limit)) {
      LogLimit(limit, "entry");
    }
  }

  std::vector<EngineLimit> ListLimits() const override {
    return context_.rate_limiter.List();
  }

  void SetSendingEntries(std::vector<InstanceId> entries) override {
    context_.rate_limiter.SetEntries(std::move(entries));
  }

  void RemoveTarget(const EngineId& id, bool is_confirmed) override {
    context_.log.Add("forward", "target")
        .Text("target", id.value())
        .Text("state", is_confirmed ? "gone" : "lapsed");
    if (is_confirmed) {
      context_.directory.Remove(id);
      context_.rate_limiter.RemoveTarget(id);
    } else {
      context_.directory.ScheduleRemoval(id);
    }
  }

  void SetEvacuated(const FailureDomain& domain, bool is_evacuated) override {
    if (!context_.directory.SetEvacuated(domain, is_evacuated)) {
      return;
    }
    context_.log.Add("forward", "evacuation")
        .Text("failure_domain", domain.value())
        .Text("state", is_evacuated ? "evacuated" : "taken back")
        .Number("requests", static_cast<std::int64_t>(requests_.size()));
    // Waiting requests are placed again, or refused if no target is left.
    context_.queue.Wake();
  }

  void SetTargetListComplete() override {
    context_.rate_limiter.SetTargetListComplete();
  }

  void SetStopDeadline(MonotonicTime end) override {
    context_.stop = {context_.clock.Now() + kStopNoticePeriod, end};
  }

  void RefuseNewRequests() override {
    const MonotonicTime now = context_.clock.Now();
    context_.stop = {now, now};
  }

  void EndRequests() override {
    // Requests that end in this loop stay in the map until a later turn.
    for (const auto& [number, request] : requests_) {
      request->EndForStop();
    }
  }

  void SetWorkListener(WorkListener listener) override {
    context_.work_listener = std::move(listener);
  }

  void SetSuspectListener(SuspectListener listener) override {
    context_.checker.SetListeners(
        [listener = std::move(listener)](const EngineAddress& engine) {
          listener(engine.id);
        },
        [this](const EngineAddress& engine) { HandleDown(engine); },
        [this](const EngineAddress& engine, MonotonicTime opened_at) {
          HandleCheckAnswer(engine, opened_at);
        });
  }

  void SetRelayPeers(std::vector<RelayPeer> peers) override {
    context_.relay_peers = std::move(peers);
  }

  bool IsCutOff() const override { return context_.reachability.is_cut_off(); }

  void SetCutOffListener(std::function<void()> listener) override {
    cut_off_listener_ = std::move(listener);
  }

  void SetCrashEvidenceListener(CrashEvidenceListener listener) override {
    context_.crash_monitor.SetListener(std::move(listener));
  }

  void ApplyCrashEvidence(const CrashEvidence& evidence) override {
    CrashEvidence current = evidence;
    std::erase_if(current.survivals, [this](const EngineSurvival& it) {
      return WasReplaced(it.engine, it.incarnation);
    });
    context_.crash_monitor.Apply(current);
  }

  void CheckReportedCrashes(const CrashEvidence& evidence) override {
    for (const EngineCrash& it : evidence.crashes) {
      if (context_.crash_monitor.HasCrash(it.engine, it.incarnation) &&
          !WasReplaced(it.engine, it.incarnation)) {
        CheckSuspect(it.engine);
      }
    }
  }

  std::vector<WorkKey> ListQuarantined() const override {
    return context_.crash_monitor.ListQuarantined();
  }

  void ApplyQuarantineRecord(const WorkKey& key, bool is_present) override {
    context_.crash_monitor.ApplyRecord(key, is_present);
  }

  CrashEvidence ListCrashEvidence(Duration max_age) const override {
    return context_.crash_monitor.ListEvidence(max_age);
  }

  void CheckSuspect(const EngineId& engine) override {
    if (const TargetRecord* const it = context_.directory.Find(engine)) {
      context_.checker.CheckSuspect(it->address);
    }
  }

  void ApplyPeerWork(const InstanceId& owner, const WorkNote& note) override {
    context_.work_tracker.Apply(owner, note);
    if (note.phase != WorkPhase::kPrefilling) {
      context_.queue.Wake();
    }
  }

  std::vector<WorkNote> ListLocalWork() const override {
    return context_.work_tracker.ListOwnerWork(context_.settings.instance);
  }

  void DiscardPeerWork(const InstanceId& owner) override {
    context_.work_tracker.RemoveOwner(owner);
    context_.queue.Wake();
  }

  void SetEntryCount(std::size_t count) override {
    context_.entry_count = count;
  }

  std::size_t CountRequestsInProgress() const override {
    return requests_.size();
  }

  HeldBytes GetHeldBytes() const override {
    const BufferBudget& buffers = context_.buffers;
    HeldBytes out;
    out.held = buffers.held();
    if (buffers.has_limit()) {
      out.max = buffers.abort_mark();
    }
    return out;
  }

  std::string GetMetricsText() const override {
    return FormatForwardingMetrics(context_, requests_.size());
  }

 private:
  bool IsListed(const EngineAddress& engine) const {
    const TargetRecord* const listed = context_.directory.Find(engine.id);
    return listed != nullptr &&
           listed->address.incarnation == engine.incarnation;
  }

  void LogLimit(const EngineLimit& limit, std::string_view source) {
    context_.log.Add("forward", "limit")
        .Text("target", limit.engine.value())
        .Text("per_second", limit.requests_per_second
                                ? fmt::format("{}", *limit.requests_per_second)
                                : "none")
        .Text("source", source);
  }

  void UpdateColdState(const TargetRecord& record, bool is_restored) {
    if (context_.rate_limiter.UpdateTarget(record, is_restored)) {
      LogCold(record.address.id, record.cold_left ? "record" : "start");
    }
  }

  void LogCold(const EngineId& engine, std::string_view source) {
    context_.log.Add("forward", "cold")
        .Text("target", engine.value())
        .Milliseconds("left", context_.rate_limiter.GetColdLeft(engine))
        .Text("source", source);
  }

  void LogLeaving(const LeavingEngine& engine, std::string_view source) {
    context_.log.Add("forward", "leaving")
        .Text("target", engine.engine.value())
        .Number("incarnation", engine.incarnation.value())
        .Text("source", source);
  }

  // Pauses and failures of an engine's earlier process, which has ended, say
  // nothing about the one that the record describes.
  void ForgetEarlierProcess(const TargetRecord& record) {
    const TargetRecord* const listed =
        context_.directory.Find(record.address.id);
    if (listed != nullptr &&
        listed->address.incarnation < record.address.incarnation) {
      context_.crash_monitor.OnEngineDown(listed->address);
      context_.health.Forget(record.address.id);
      context_.rate_limiter.Forget(record.address.id);
    }
  }

  void HandleReachabilityChange() {
    if (!IsCutOff()) {
      // Failures during the cut were those of this entry.
      context_.health.ForgetFailures();
      CheckReportedCrashes(ListCrashEvidence(WorkQuarantine::kQuarantineTime));
    }
    cut_off_listener_();
    context_.queue.Wake();
  }

  // The engine's identifier belongs to a later process, so that an answer may
  // be that of the later one.
  bool WasReplaced(const EngineId& engine, Incarnation incarnation) const {
    const TargetRecord* const listed = context_.directory.Find(engine);
    return listed != nullptr && listed->address.incarnation > incarnation;
  }

  void HandleCheckAnswer(const EngineAddress& engine, MonotonicTime opened_at) {
    if (!WasReplaced(engine.id, engine.incarnation)) {
      context_.crash_monitor.OnEngineAnswered(engine, opened_at);
    }
  }

  void HandleDown(const EngineAddress& engine) {
    ++context_.engines_found_down;
    context_.crash_monitor.OnEngineDown(engine);
    // Requests that end in this loop stay in the map until a later turn.
    for (const auto& [number, request] : requests_) {
      request->HandleEngineDown(engine.id);
    }
  }

  // Deferred, since one of the request's callbacks may still be running.
  void Retire(std::uint64_t number) {
    deferred_.Run([this, number] { requests_.erase(number); });
  }

  ForwardContext context_;
  std::uint64_t next_request_ = 0;
  std::map<std::uint64_t, std::unique_ptr<ForwardRequest>> requests_;
  DeferredTaskRunner deferred_;
  LeavingListener leaving_listener_ = [](const LeavingEngine&) {};
  LimitListener limit_listener_ = [](const EngineLimit&) {};
  std::function<void()> cut_off_listener_ = [] {};
};

}  // namespace

std::unique_ptr<Forwarder> Forwarder::Create(
    const ForwarderSettings& settings,
    const ForwarderDependencies& dependencies) {
  return std::make_unique<ForwarderImpl>(settings, dependencies);
}

}  // namespace kingcupdrift
