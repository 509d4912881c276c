#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_IMPL_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_IMPL_H_

#include <map>
#include <memory>
#include <string>

#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/entry/internal/caller_lookup.h"
#include "kingcupdrift/entry/internal/dispatch_note_sender.h"
#include "kingcupdrift/entry/internal/dispatcher.h"
#include "kingcupdrift/entry/internal/engine_poller.h"
#include "kingcupdrift/entry/internal/entry_context.h"
#include "kingcupdrift/entry/internal/metered_store.h"
#include "kingcupdrift/entry/internal/request.h"
#include "kingcupdrift/entry/internal/request_table.h"
#include "kingcupdrift/entry/internal/service_load_balancer.h"
#include "kingcupdrift/entry/internal/service_policies.h"
#include "kingcupdrift/entry/internal/state_change_recorder.h"
#include "kingcupdrift/store/store.h"

namespace kingcupdrift {

/// Creates and connects the components of one entry instance.
class Entry::Impl : private SweepView {
 public:
  Impl(EntrySettings settings, EntryDependencies dependencies);
  ~Impl() override;

  void Start();
  RequestId Complete(CompletionCall call, std::unique_ptr<CallerSink> sink);
  RequestId CallService(PlainCall call, std::unique_ptr<CallerSink> sink);
  RequestId Resume(const ResumeCall& call, std::unique_ptr<CallerSink> sink);
  void HandleCallerDisconnect(const RequestId& request);
  void HandleCallerWritable(const RequestId& request);
  EntriesAnswer ListEntries(const WorkspaceId& workspace) const;
  EntryStatus GetStatus() const;
  void StartDrain();
  bool IsDrained() const;
  std::string GetMetricsText() const;
  std::string GetTimelineJson(const std::string& request_filter,
                              const std::string& workspace_filter) const;

 private:
  // SweepView:
  std::vector<InstanceId> LiveInstances() const override;
  bool IsInUse(const AttemptId& attempt) const override;

  void ConnectSignals();
  void OnPeerMessage(const PeerMessage& message);
  void OnGossip(const InstanceId& sender, const GossipMessage& gossip);
  void OnMemberChanged(const MemberRecord& record);
  void OnConfigApplied(const SiteConfig& config);
  void FillGossip(GossipMessage& gossip);
  void Tick();
  /// Divides the store's call rate among the serving entries, and makes this
  /// entry a candidate for the placement lease if it is one of the few chosen.
  void UpdateStoreBudgetAndLease();
  void UpdateIdleSince();
  void UpdateCapacity();
  void UpdateMetrics();
  void SweepJournal();

  /// Fails if no configuration is in force yet or a drain has begun. In the
  /// second case the problem redirects to an entry listed for `workspace`.
  tl::expected<void, Problem> CheckServing(const WorkspaceId& workspace) const;
  /// Finds the workspace by the caller's token. Fails if no workspace has it or
  /// CheckServing fails. Does not check whether the workspace may use the
  /// service. A draining entry chooses the redirect before the workspace is
  /// known, so from the entries ranked for the empty workspace ID.
  tl::expected<const WorkspaceConfig*, Problem> Authorize(
      const CallerContext& caller) const;
  RequestInfo MakeInfo(const WorkspaceConfig& workspace,
                       const ServiceConfig& service,
                       const CallerContext& caller);
  RequestId Run(std::unique_ptr<Request> request);
  /// Refuses a call before a Request is made for it. Returns an empty ID.
  RequestId Refuse(CallerSink& sink,
                   const Problem& problem,
                   const WorkspaceId& workspace = {});

  EntrySettings settings_;
  EntryDependencies dependencies_;
  HybridClock hybrid_clock_;
  EventRing events_;
  Metrics metrics_;
  MeteredStore metered_store_;
  StoreBudget store_budget_;
  BudgetedStore journal_store_;
  BudgetedStore config_store_;
  BudgetedStore lease_store_;
  Membership membership_;
  ConfigFollower config_;
  Router router_;
  AdmissionController admission_;
  Journal journal_;
  GroupReserver reserver_;
  LeaseKeeper lease_;
  PlacementController placement_;
  HoldingSweeper sweeper_;
  ServicePolicies policies_;
  ServiceLoadBalancer load_balancer_;
  Dispatcher dispatcher_;
  EnginePoller poller_;
  DispatchNoteSender dispatch_note_sender_;
  StateChangeRecorder state_change_recorder_;
  CallerLookup lookup_;
  /// The configuration that `lookup_` refers to.
  SiteConfig site_config_;
  RequestTable requests_;
  EntryContext context_;
  std::map<InstanceId, Incarnation> peer_incarnations_;
  std::optional<MonotonicTime> drain_started_at_;
  /// When the last request of a draining entry ended.
  std::optional<MonotonicTime> idle_since_;
  std::unique_ptr<Timer> tick_timer_;
  std::unique_ptr<Timer> sweep_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_ENTRY_IMPL_H_
