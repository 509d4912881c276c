#ifndef KINGCUPDRIFT_FORWARDING_RETRY_BUDGET_SHARE_H_
#define KINGCUPDRIFT_FORWARDING_RETRY_BUDGET_SHARE_H_

#include <cstddef>
#include <deque>
#include <map>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

struct RetryBudgetSettings {
  /// Retries per request of a service within `window`, over all entries.
  double ratio = 0.2;
  /// Retries per service and `window` besides those of `ratio`, over all
  /// entries.
  int extra = 0;
  Duration window = std::chrono::seconds(10);
};

/// The share of the retry budget of this entry (the serving process). Each
/// entry gets the ratio of its own requests and an equal part of the extra
/// retries, so that the shares add up to the whole budget without any messages
/// between entries.
class RetryBudgetShare {
 public:
  RetryBudgetShare(const Clock& clock, const RetryBudgetSettings& settings)
      : clock_(clock), settings_(settings) {}

  /// Counts a request for `service` that arrived from a caller.
  void CountRequest(const ServiceId& service);
  /// Takes one retry from the share; false if the share is used up. `entries`
  /// is the number of entries that share the budget.
  bool TryTake(const ServiceId& service, std::size_t entries);
  /// Retries of a window that this entry may make, those made included.
  double GetLimit(const ServiceId& service, std::size_t entries);
  const RetryBudgetSettings& settings() const { return settings_; }

  /// An entry uses at most this part of its share. While an entry has just
  /// joined or died, entries count different numbers of entries, and their
  /// shares may add up to more than the budget.
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
