#ifndef KINGCUPDRIFT_FORWARDING_RETRY_BUDGET_SHARE_H_
#define KINGCUPDRIFT_FORWARDING_RETRY_BUDGET_SHARE_H_

#include <cstddef>
#include <deque>
#include <map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

struct RetryBudgetSettings {
  /// Further sends allowed for each request, over all entries.
  double ratio = 0.2;
  /// Further sends allowed besides, over all entries.
  int extra = 0;
  Duration window = std::chrono::seconds(10);
};

/// This entry's share of the budget for sending requests to further targets.
/// Every entry spends from its own requests, and an equal share of the extra
/// sends, so that the shares add up to the whole without any message.
class RetryBudgetShare {
 public:
  RetryBudgetShare(const Clock& clock, const RetryBudgetSettings& settings)
      : clock_(clock), settings_(settings) {}

  /// A request for `service` arrived from a caller.
  void CountRequest(const ServiceId& service);
  /// Takes one further send; false if the share is used up.
  bool TryTake(const ServiceId& service, std::size_t entries);

  /// Part of the share that is spent. The rest covers what other entries count
  /// as theirs while one has just joined or died.
  static constexpr double kUsableShare = 0.7;

 private:
  struct ServiceUsage {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> sends;
  };

  void Expire(std::deque<MonotonicTime>& times) const;

  const Clock& clock_;
  RetryBudgetSettings settings_;
  std::map<ServiceId, ServiceUsage> usage_by_service_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_RETRY_BUDGET_SHARE_H_
