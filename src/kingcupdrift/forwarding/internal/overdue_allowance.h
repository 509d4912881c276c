#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ALLOWANCE_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ALLOWANCE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/retry_budget_share.h"

namespace kingcupdrift {

/// The part of this entry's (serving process's) share of the retry budget that
/// overdue attempts may use, so that the rest stays for engines that crash.
///
/// Among many entries this part is less than one retry per window. A random
/// draw then decides whether the entry may use one in this window, so that
/// all entries together use the same part as a single one would.
class OverdueAllowance {
 public:
  /// All references outlive the allowance.
  OverdueAllowance(const Clock& clock, Random& random, RetryBudgetShare& budget)
      : clock_(clock), random_(random), budget_(budget) {}

  /// Takes one retry from the budget; false if the allowance or the budget is
  /// used up. `entries` is the number of entries that share the budget.
  bool TryTake(const ServiceId& service, std::size_t entries);

  /// Mean part of the budget share. With a quarter, an entry could not repeat
  /// all prompts that a silent engine attracts before it is found out.
  static constexpr double kBudgetPart = 0.4;

 private:
  struct Usage {
    std::deque<MonotonicTime> taken;
    /// Added to the limit before it is rounded down; drawn once per window.
    double draw = 0;
    std::optional<MonotonicTime> drawn_at;
  };

  const Clock& clock_;
  Random& random_;
  RetryBudgetShare& budget_;
  std::map<ServiceId, Usage> usage_by_service_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_OVERDUE_ALLOWANCE_H_
