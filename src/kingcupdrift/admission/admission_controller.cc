#include "kingcupdrift/admission/admission_controller.h"

#include <algorithm>
#include <map>
#include <utility>

#include "kingcupdrift/admission/internal/drain_meter.h"
#include "kingcupdrift/admission/internal/workspace_account.h"

namespace kingcupdrift {
namespace {

/// The estimated queue time is multiplied by 3/2, since requests admitted later
/// may start earlier.
constexpr int kDrainMarginNumerator = 3;
constexpr int kDrainMarginDenominator = 2;

Refusal MakeRefusal(ProblemType type, Duration retry_after) {
  return {type, std::clamp(retry_after, AdmissionController::kMinRetryAfter,
                           AdmissionController::kMaxRetryAfter)};
}

tl::unexpected<Refusal> Refuse(ProblemType type, Duration retry_after) {
  return tl::make_unexpected(MakeRefusal(type, retry_after));
}

}  // namespace

class AdmissionController::Impl {
 public:
  struct ServiceState {
    ServiceConfig config;
    DrainMeter small;
    DrainMeter large;

    DrainMeter& MeterFor(const AdmissionRequest& request) {
      return request.is_large ? large : small;
    }
    std::size_t Waiting() const { return small.Waiting() + large.Waiting(); }
  };

  Impl(const Clock& clock, InstanceId self)
      : clock_(clock), self_(std::move(self)) {}

  MonotonicTime Now() const { return clock_.Now(); }
  const InstanceId& self() const { return self_; }

  ServiceState* FindService(const ServiceId& id) {
    const auto it = services.find(id);
    return it == services.end() ? nullptr : &it->second;
  }

  WorkspaceAccount* FindWorkspace(const WorkspaceId& id) {
    const auto it = workspaces.find(id);
    return it == workspaces.end() ? nullptr : &it->second;
  }

  std::map<ServiceId, ServiceState> services;
  std::map<WorkspaceId, WorkspaceAccount> workspaces;
  /// The workspace that `CollectLocalUsage` looked at last.
  WorkspaceId cursor;

 private:
  const Clock& clock_;
  InstanceId self_;
};

AdmissionController::AdmissionController(const Clock& clock, InstanceId self)
    : impl_(std::make_unique<Impl>(clock, std::move(self))) {}

AdmissionController::~AdmissionController() = default;

void AdmissionController::ApplyConfig(const SiteConfig& config) {
  const MonotonicTime now = impl_->Now();
  std::erase_if(impl_->services, [&](const auto& item) {
    return !config.services.contains(item.first);
  });
  for (const auto& [id, service] : config.services) {
    impl_->services[id].config = service;
  }
  std::erase_if(impl_->workspaces, [&](const auto& item) {
    return !config.workspaces.contains(item.first);
  });
  for (const auto& [id, workspace] : config.workspaces) {
    const auto [it, is_new] = impl_->workspaces.try_emplace(id, workspace, now);
    if (!is_new) {
      it->second.SetConfig(workspace, now);
    }
  }
}

void AdmissionController::OnPeerUsage(
    const InstanceId& peer,
    const std::vector<WorkspaceUsage>& usage) {
  if (peer == impl_->self()) {
    return;
  }
  for (const WorkspaceUsage& totals : usage) {
    if (WorkspaceAccount* account = impl_->FindWorkspace(totals.workspace)) {
      account->OnPeerTotals(peer, totals, impl_->Now());
    }
  }
}

void AdmissionController::ForgetPeer(const InstanceId& peer) {
  for (auto& [id, account] : impl_->workspaces) {
    account.ForgetPeer(peer);
  }
}

std::vector<WorkspaceUsage> AdmissionController::CollectLocalUsage(
    std::size_t max_items) {
  std::vector<WorkspaceUsage> usage;
  auto& workspaces = impl_->workspaces;
  auto it = workspaces.upper_bound(impl_->cursor);
  for (std::size_t n = 0; n < workspaces.size(); ++n, ++it) {
    if (it == workspaces.end()) {
      it = workspaces.begin();
    }
    if (usage.size() == max_items) {
      break;
    }
    impl_->cursor = it->first;
    const WorkspaceUsage totals = it->second.LocalTotals();
    if (totals.requests > 0) {
      usage.push_back(totals);
    }
  }
  return usage;
}

tl::expected<void, Refusal> AdmissionController::Admit(
    const AdmissionRequest& request) {
  Impl::ServiceState* service = impl_->FindService(request.service);
  if (service == nullptr) {
    return Refuse(ProblemType::kNotFound, kMinRetryAfter);
  }
  WorkspaceAccount* workspace = impl_->FindWorkspace(request.workspace);
  if (workspace == nullptr) {
    return Refuse(ProblemType::kUnauthorized, kMinRetryAfter);
  }
  const auto& allowed = workspace->config().services;
  if (!allowed.empty() && !allowed.contains(request.service)) {
    return Refuse(ProblemType::kUnauthorized, kMinRetryAfter);
  }
  const MonotonicTime now = impl_->Now();
  const Duration until_allowed = workspace->TimeUntilAllowed(now);
  if (until_allowed > Duration::zero()) {
    return Refuse(ProblemType::kWorkspaceLimit, until_allowed);
  }
  DrainMeter& meter = service->MeterFor(request);
  const Duration drain = meter.DrainTime(now);
  if (service->Waiting() >= service->config.max_queued) {
    return Refuse(ProblemType::kQueueFull, drain);
  }
  const Duration excess =
      drain * kDrainMarginNumerator / kDrainMarginDenominator +
      request.predicted_total_time - (request.deadline - now);
  if (excess > Duration::zero()) {
    return Refuse(ProblemType::kDeadlineInfeasible, excess);
  }
  workspace->Charge(request.tokens, now);
  meter.OnEnqueued(request.tokens, now);
  return {};
}

tl::expected<void, Refusal> AdmissionController::CheckBeforeDispatch(
    const AdmissionRequest& request) const {
  const MonotonicTime now = impl_->Now();
  if (request.deadline <= now) {
    return Refuse(ProblemType::kDeadlineExceeded, DrainTime(request.service));
  }
  const Duration excess =
      request.predicted_total_time - (request.deadline - now);
  if (excess > Duration::zero()) {
    return Refuse(ProblemType::kDeadlineInfeasible, excess);
  }
  return {};
}

void AdmissionController::OnStarted(const AdmissionRequest& request) {
  if (Impl::ServiceState* service = impl_->FindService(request.service)) {
    service->MeterFor(request).OnStarted(request.tokens, impl_->Now());
  }
}

void AdmissionController::OnAbandoned(const AdmissionRequest& request) {
  if (Impl::ServiceState* service = impl_->FindService(request.service)) {
    service->MeterFor(request).OnAbandoned(request.tokens);
  }
  if (WorkspaceAccount* account = impl_->FindWorkspace(request.workspace)) {
    account->Refund(request.tokens, impl_->Now());
  }
}

Duration AdmissionController::DrainTime(const ServiceId& service) const {
  const Impl::ServiceState* state = impl_->FindService(service);
  if (state == nullptr) {
    return Duration::zero();
  }
  const MonotonicTime now = impl_->Now();
  return std::max(state->small.DrainTime(now), state->large.DrainTime(now));
}

void AdmissionController::SetFallbackDrainRate(const ServiceId& service,
                                               double tokens_per_second) {
  if (Impl::ServiceState* state = impl_->FindService(service)) {
    state->small.SetExpectedRate(tokens_per_second);
    state->large.SetExpectedRate(tokens_per_second);
  }
}

std::size_t AdmissionController::Waiting(const ServiceId& service) const {
  const Impl::ServiceState* state = impl_->FindService(service);
  return state == nullptr ? 0 : state->Waiting();
}

}  // namespace kingcupdrift
