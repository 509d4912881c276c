#include "kingcupdrift/routing/internal/cost_policy.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupdrift {
namespace {

double Cost(const RouteEstimate& estimate, const ServiceConfig& service) {
  return service.own_time_weight *
             static_cast<double>(estimate.time_to_first_token.count()) +
         service.inflicted_delay_weight *
             static_cast<double>(estimate.inflicted_delay.count());
}

/// Returns `n` different numbers below `size`, in random order.
std::vector<std::size_t> Sample(std::size_t size,
                                std::size_t n,
                                Random& random) {
  std::vector<std::size_t> all(size);
  std::iota(all.begin(), all.end(), 0);
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(all[i], all[i + random.NextBelow(size - i)]);
  }
  all.resize(n);
  return all;
}

}  // namespace

std::size_t CostPolicy::Choose(const RouteRequest& /*request*/,
                               const ServiceConfig& service,
                               const CandidateView& view,
                               Random& random) {
  const std::size_t wanted =
      view.HasFreshNotes() ? kSampledWithNotes : kSampled;
  std::vector<std::size_t> sampled =
      Sample(view.size(), std::min(wanted, view.size()), random);
  if (const std::optional<std::size_t> cached =
          view.FindLongestCachedPrefix()) {
    sampled.push_back(*cached);
  }
  std::size_t best = sampled.front();
  double best_cost = std::numeric_limits<double>::infinity();
  for (const std::size_t i : sampled) {
    const double cost = Cost(view.Estimate(i), service);
    if (cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace kingcupdrift
