#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_WORKSPACE_SHARES_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_WORKSPACE_SHARES_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Work that the requests of each workspace have started lately at each
/// service. Older work counts less, by half in each `kHalfLife`.
class WorkspaceShares {
 public:
  explicit WorkspaceShares(const Clock& clock) : clock_(clock) {}

  /// Counts a request that starts.
  void Add(const ServiceId& service,
           const WorkspaceId& workspace,
           Duration work);

  /// Returns for each workspace in `waiting`, those with waiting requests for
  /// the service, how far it is above its fair share, from 0 to `kMaxExcess`.
  /// The result is 0 up to `kTolerance` times the mean of the others, plus
  /// `kTolerance` times the largest of its own recent requests; it then grows
  /// by one with each doubling. The tolerance keeps workspaces with a similar
  /// load at 0, so that their requests are ordered by work alone.
  std::map<WorkspaceId, int> ComputeExcesses(
      const ServiceId& service,
      const std::set<WorkspaceId>& waiting) const;

  std::size_t size() const { return accounts_.size(); }

  /// Long compared with the interval between two large prompts of a workspace,
  /// so that a single one does not count as an excess.
  static constexpr Duration kHalfLife = std::chrono::seconds(20);
  static constexpr int kMaxExcess = 8;
  static constexpr double kTolerance = 2;
  /// Least work of a request, so that requests without a prompt count too.
  static constexpr Duration kMinWork = std::chrono::milliseconds(1);
  /// Accounts with less decayed work than this are dropped.
  static constexpr Duration kNegligibleWork = std::chrono::microseconds(50);

 private:
  using Key = std::pair<ServiceId, WorkspaceId>;
  struct Account {
    /// Both in microseconds, as of `updated_at`.
    double work = 0;
    double largest = 0;
    MonotonicTime updated_at{};
  };

  double GetDecay(const Account& account) const;
  void DropNegligible();

  const Clock& clock_;
  std::map<Key, Account> accounts_;
  MonotonicTime next_drop_at_{};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_WORKSPACE_SHARES_H_
