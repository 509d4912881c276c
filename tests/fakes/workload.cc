#include "tests/fakes/workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace kingcupdrift::fakes {
namespace {

constexpr double kMinPrompt = 1'000;
constexpr double kMinLongPrompt = 100'000;
constexpr double kMaxPrompt = 1'000'000;
constexpr std::array<std::int64_t, kPromptLengthBands - 1> kBandEnds = {
    8'000, 32'000, 100'000};
constexpr std::array<const char*, kPromptLengthBands> kBandNames = {
    "1-8k", "8-32k", "32-100k", "100k-1M"};
/// Callers' time limits by band.
constexpr std::array<Duration, kPromptLengthBands> kTimeLimits = {
    std::chrono::seconds(60), std::chrono::seconds(60),
    std::chrono::seconds(180), std::chrono::seconds(600)};

double LogUniformMean(double low, double high) {
  return (high - low) / std::log(high / low);
}

}  // namespace

Workload::Workload(WorkloadOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

WorkloadRequest Workload::Next() {
  const bool is_long = random_.NextDouble() < options_.long_share;
  const double low = is_long ? kMinLongPrompt : kMinPrompt;
  const double high = is_long ? kMaxPrompt : kMinLongPrompt;
  WorkloadRequest request;
  request.number = next_number_++;
  request.prompt_tokens = static_cast<std::int64_t>(
      low * std::pow(high / low, random_.NextDouble()));
  request.output_tokens =
      options_.min_output + static_cast<std::int64_t>(random_.NextBelow(
                                options_.max_output - options_.min_output + 1));
  request.time_limit = kTimeLimits[GetPromptLengthBand(request.prompt_tokens)];
  request.blocks = DrawBlocks(request.prompt_tokens);
  return request;
}

std::vector<std::uint64_t> Workload::DrawBlocks(std::int64_t prompt_tokens) {
  const std::size_t n =
      std::max<std::int64_t>(1, prompt_tokens / options_.block.value());
  const bool is_shared = random_.NextDouble() < options_.shared_share;
  const std::uint64_t prefix = 1 + random_.NextBelow(options_.shared_prefixes);
  const std::uint64_t own = random_.Next();
  std::vector<std::uint64_t> blocks(n);
  for (std::size_t i = 0; i < n; ++i) {
    const bool is_prefix = is_shared && i < n / 2;
    const std::uint64_t chain = is_prefix ? prefix << 32U : own;
    blocks[i] = chain + i;
  }
  return blocks;
}

Duration Workload::NextGap(double rate) {
  constexpr double kMicrosPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(
      -std::log1p(-random_.NextDouble()) / rate * kMicrosPerSecond));
}

double Workload::MeanPrompt() const {
  return (1 - options_.long_share) *
             LogUniformMean(kMinPrompt, kMinLongPrompt) +
         options_.long_share * LogUniformMean(kMinLongPrompt, kMaxPrompt);
}

std::size_t GetPromptLengthBand(std::int64_t prompt_tokens) {
  const auto* it =
      std::upper_bound(kBandEnds.begin(), kBandEnds.end(), prompt_tokens);
  return static_cast<std::size_t>(it - kBandEnds.begin());
}

const char* GetPromptLengthBandName(std::size_t band) {
  return kBandNames[band];
}

}  // namespace kingcupdrift::fakes
