#include "kingcupdrift/admission/internal/workspace_account.h"

#include <algorithm>

#include "kingcupdrift/admission/admission_controller.h"

namespace kingcupdrift {
namespace {

double Burst(double rate) {
  constexpr double kBurstSeconds =
      std::chrono::duration<double>(AdmissionController::kBurstDuration)
          .count();
  return rate * kBurstSeconds;
}

/// Adds `amount` to a running total, reduced by refunds that are pending.
void AddToTotal(std::int64_t amount,
                std::int64_t& total,
                std::int64_t& pending) {
  const std::int64_t offset = std::min(amount, pending);
  pending -= offset;
  total += amount - offset;
}

}  // namespace

WorkspaceAccount::WorkspaceAccount(const WorkspaceConfig& config,
                                   MonotonicTime now)
    : config_(config),
      requests_(config.requests_per_second,
                Burst(config.requests_per_second),
                now),
      tokens_(config.tokens_per_second, Burst(config.tokens_per_second), now) {}

void WorkspaceAccount::SetConfig(const WorkspaceConfig& config,
                                 MonotonicTime now) {
  config_ = config;
  requests_.SetRate(config.requests_per_second,
                    Burst(config.requests_per_second), now);
  tokens_.SetRate(config.tokens_per_second, Burst(config.tokens_per_second),
                  now);
}

Duration WorkspaceAccount::TimeUntilAllowed(MonotonicTime now) {
  return std::max(requests_.TimeUntilAvailable(now),
                  tokens_.TimeUntilAvailable(now));
}

void WorkspaceAccount::Charge(TokenCount tokens, MonotonicTime now) {
  requests_.Charge(1, now);
  tokens_.Charge(static_cast<double>(tokens.value()), now);
  AddToTotal(1, total_requests_, pending_refund_requests_);
  AddToTotal(tokens.value(), total_tokens_, pending_refund_tokens_);
}

void WorkspaceAccount::Refund(TokenCount tokens, MonotonicTime now) {
  requests_.Refund(1, now);
  tokens_.Refund(static_cast<double>(tokens.value()), now);
  pending_refund_requests_ += 1;
  pending_refund_tokens_ += tokens.value();
}

void WorkspaceAccount::OnPeerTotals(const InstanceId& peer,
                                    const WorkspaceUsage& totals,
                                    MonotonicTime now) {
  const auto [it, is_new] =
      peers_.try_emplace(peer, PeerTotals{totals.requests, totals.tokens});
  if (is_new) {
    return;
  }
  PeerTotals& known = it->second;
  const std::int64_t requests = totals.requests - known.requests;
  const std::int64_t tokens = totals.tokens - known.tokens;
  if (requests > 0) {
    requests_.Charge(static_cast<double>(requests), now);
    known.requests = totals.requests;
  }
  if (tokens > 0) {
    tokens_.Charge(static_cast<double>(tokens), now);
    known.tokens = totals.tokens;
  }
}

WorkspaceUsage WorkspaceAccount::LocalTotals() const {
  return {config_.id, total_requests_, total_tokens_};
}

}  // namespace kingcupdrift
