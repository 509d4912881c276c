#include "kingcupdrift/routing/internal/simple_policies.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kingcupdrift {
namespace {

/// Weight of one request of mean length in the learned share of prompt tokens
/// that belong to short prompts.
constexpr double kShareSmoothing = 0.005;
/// The candidates are divided anew once the learned share differs by more than
/// this from the share in use.
constexpr double kHysteresis = 0.1;
/// Prompt length, in tokens, whose observation has weight `kShareSmoothing`.
constexpr double kMeanLength = 30'000;

/// Returns the candidate of [begin, end) with the fewest requests in flight,
/// and among equals one at random.
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
  const double weight =
      std::min(1.0, kShareSmoothing *
                        static_cast<double>(request.prompt_tokens.value()) /
                        kMeanLength);
  short_token_share_ += weight * ((is_short ? 1.0 : 0.0) - short_token_share_);
  if (std::abs(short_token_share_ - short_candidate_share_) > kHysteresis) {
    short_candidate_share_ = short_token_share_;
  }
  const std::size_t size = view.size();
  if (size == 1) {
    return 0;
  }
  const auto wanted = static_cast<std::size_t>(
      std::lround(short_candidate_share_ * static_cast<double>(size)));
  const std::size_t boundary = std::clamp<std::size_t>(wanted, 1, size - 1);
  return is_short ? FewestInFlight(view, 0, boundary, random)
                  : FewestInFlight(view, boundary, size, random);
}

}  // namespace kingcupdrift
