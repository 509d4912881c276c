#include "kingcupdrift/routing/internal/simple_policies.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kingcupdrift {
namespace {

/// Weight of one request of a mean length in the learned share of short work.
constexpr double kWorkSmoothing = 0.005;
/// Change of the short work's share that moves the boundary.
constexpr double kHysteresis = 0.1;
/// Length whose observation has weight `kWorkSmoothing`.
constexpr double kMeanLength = 30'000;

/// Fewest in flight among candidates [begin, end); ties by chance.
std::size_t FewestInFlight(const CandidateView& view,
                           std::size_t begin,
                           std::size_t end,
                           Random& random) {
  std::size_t best = begin;
  std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
  std::uint64_t ties = 0;
  for (std::size_t i = begin; i < end; ++i) {
    const std::uint32_t n = view.InFlight(i);
    if (n > fewest) {
      continue;
    }
    ties = n == fewest ? ties + 1 : 1;
    if (random.NextBelow(ties) == 0) {
      best = i;
    }
    fewest = n;
  }
  return best;
}

}  // namespace

std::size_t RandomPolicy::Choose(const RouteRequest& /*request*/,
                                 const ServiceConfig& /*service*/,
                                 const CandidateView& view,
                                 Random& random) {
  return random.NextBelow(view.size());
}

std::size_t LeastInFlightPolicy::Choose(const RouteRequest& /*request*/,
                                        const ServiceConfig& /*service*/,
                                        const CandidateView& view,
                                        Random& random) {
  return FewestInFlight(view, 0, view.size(), random);
}

std::size_t SplitPolicy::Choose(const RouteRequest& request,
                                const ServiceConfig& /*service*/,
                                const CandidateView& view,
                                Random& random) {
  const bool is_short = request.prompt_tokens < kLongPrompt;
  const double weight = std::min(
      1.0, kWorkSmoothing * static_cast<double>(request.prompt_tokens.value()) /
               kMeanLength);
  short_work_ += weight * ((is_short ? 1.0 : 0.0) - short_work_);
  if (std::abs(short_work_ - short_share_) > kHysteresis) {
    short_share_ = short_work_;
  }
  const std::size_t size = view.size();
  if (size == 1) {
    return 0;
  }
  const auto wanted = static_cast<std::size_t>(
      std::lround(short_share_ * static_cast<double>(size)));
  const std::size_t boundary = std::clamp<std::size_t>(wanted, 1, size - 1);
  return is_short ? FewestInFlight(view, 0, boundary, random)
                  : FewestInFlight(view, boundary, size, random);
}

}  // namespace kingcupdrift
