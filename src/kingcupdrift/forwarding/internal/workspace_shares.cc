#include "kingcupdrift/forwarding/internal/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {

double WorkspaceShares::GetDecay(const Account& account) const {
  const Duration age = clock_.Now() - account.updated_at;
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(kHalfLife.count()));
}

void WorkspaceShares::Add(const ServiceId& service,
                          const WorkspaceId& workspace,
                          Duration work) {
  DropNegligible();
  Account& account = accounts_[{service, workspace}];
  const double decay = GetDecay(account);
  const auto added = static_cast<double>(std::max(work, kMinWork).count());
  account.work = account.work * decay + added;
  account.largest = std::max(account.largest * decay, added);
  account.updated_at = clock_.Now();
}

std::map<WorkspaceId, int> WorkspaceShares::ComputeExcesses(
    const ServiceId& service,
    const std::set<WorkspaceId>& waiting) const {
  std::map<WorkspaceId, int> excesses;
  std::map<WorkspaceId, Account> current;
  double total = 0;
  for (const WorkspaceId& it : waiting) {
    excesses[it] = 0;
    const auto found = accounts_.find({service, it});
    if (found != accounts_.end()) {
      const double decay = GetDecay(found->second);
      Account& account = current[it];
      account.work = found->second.work * decay;
      account.largest = found->second.largest * decay;
      total += account.work;
    }
  }
  if (waiting.size() < 2) {
    return excesses;
  }
  const auto others = static_cast<double>(waiting.size() - 1);
  for (const auto& [workspace, account] : current) {
    const double excess = account.work - kTolerance * account.largest;
    const double fair = std::max(kTolerance * (total - account.work) / others,
                                 static_cast<double>(kNegligibleWork.count()));
    if (excess > fair) {
      excesses[workspace] =
          std::min(kMaxExcess, 1 + static_cast<int>(std::log2(excess / fair)));
    }
  }
  return excesses;
}

void WorkspaceShares::DropNegligible() {
  const MonotonicTime now = clock_.Now();
  if (now < next_drop_at_) {
    return;
  }
  next_drop_at_ = now + kHalfLife;
  std::erase_if(accounts_, [this](const auto& it) {
    return it.second.work * GetDecay(it.second) <
           static_cast<double>(kNegligibleWork.count());
  });
}

}  // namespace kingcupdrift
