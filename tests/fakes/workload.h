#ifndef TESTS_FAKES_WORKLOAD_H_
#define TESTS_FAKES_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Distribution of requests. Prompt lengths are log-uniform: by default 98 in
/// 100 from 1,000 to 100,000 tokens and 2 in 100 from there to 1,000,000.
struct WorkloadOptions {
  double long_share = 0.02;
  /// Share of prompts whose first half is one of `shared_prefixes` prefixes.
  double shared_share = 0.3;
  std::uint64_t shared_prefixes = 64;
  TokenCount block{256};
  std::int64_t min_output = 32;
  std::int64_t max_output = 96;
};

/// One request of a workload.
struct WorkloadRequest {
  std::uint64_t number = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  /// By band of the prompt length: 60, 60, 180 or 600 s.
  Duration time_limit{0};
  std::vector<std::uint64_t> blocks;
};

/// Generates random requests; the same seed gives the same requests.
class Workload {
 public:
  Workload(WorkloadOptions options, std::uint64_t seed);

  WorkloadRequest Next();
  /// Time to the next arrival of a Poisson process with `rate` arrivals a
  /// second.
  Duration NextGap(double rate);
  std::uint64_t NextBelow(std::uint64_t bound) {
    return random_.NextBelow(bound);
  }

  /// Expected prompt length in tokens.
  double MeanPrompt() const;

 private:
  std::vector<std::uint64_t> DrawBlocks(std::int64_t prompt_tokens);

  WorkloadOptions options_;
  SeededRandom random_;
  std::uint64_t next_number_ = 0;
};

/// Number of bands of prompt length for which measurements are reported: 1-8k,
/// 8-32k, 32-100k and 100k-1M tokens.
inline constexpr std::size_t kPromptLengthBands = 4;
std::size_t GetPromptLengthBand(std::int64_t prompt_tokens);
const char* GetPromptLengthBandName(std::size_t band);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_WORKLOAD_H_
