#include "kingcupdrift/routing/hedge_policy.h"

#include <algorithm>
#include <vector>

namespace kingcupdrift {
namespace {

constexpr double kHedgePercentile = 0.95;

}  // namespace

void HedgePolicy::OnAnswered(Duration time) {
  times_[count_ % kWindow] = time;
  ++count_;
}

std::optional<Duration> HedgePolicy::ComputeHedgeDelay(
    bool is_idempotent,
    TokenCount prompt_tokens) const {
  if (!is_idempotent || prompt_tokens > kMaxPrompt ||
      count_ < kMinObservations) {
    return std::nullopt;
  }
  const std::size_t n = std::min(count_, kWindow);
  std::vector<Duration> sorted(times_.begin(), times_.begin() + n);
  const auto rank =
      static_cast<std::size_t>(kHedgePercentile * static_cast<double>(n - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[rank];
}

}  // namespace kingcupdrift
