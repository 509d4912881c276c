#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_PROMPT_LENGTH_DISTRIBUTION_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_PROMPT_LENGTH_DISTRIBUTION_H_

#include <array>
#include <cstddef>

namespace kingcupdrift {

/// Length bands by powers of two, from 1 token up to over a million.
inline constexpr std::size_t kLengthBands = 21;

/// Band of a length in tokens.
std::size_t LengthBand(double tokens);

/// Learned distribution of work over prompt lengths. Work is counted in prompt
/// tokens, cached or not.
class PromptLengthDistribution {
 public:
  /// Adds a prompt. Each new prompt slightly reduces the weight of earlier
  /// ones.
  void Observe(double tokens);
  /// Returns the share of the work in prompts shorter than `tokens`.
  double ShareBelow(double tokens) const;

 private:
  std::array<double, kLengthBands> band_tokens_{};
  double total_ = 0;
};

/// Learned ratio of actual to predicted time to first token, by prompt length.
class PredictionError {
 public:
  PredictionError();

  void Observe(double tokens, double ratio);
  double Mean(double tokens) const { return bands_[LengthBand(tokens)].mean; }
  /// Returns the mean plus twice the mean deviation, which few prompts exceed.
  double UpperBound(double tokens) const;

 private:
  struct Band {
    double mean = 1;
    double deviation = 0.25;
  };

  std::array<Band, kLengthBands> bands_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_PROMPT_LENGTH_DISTRIBUTION_H_
