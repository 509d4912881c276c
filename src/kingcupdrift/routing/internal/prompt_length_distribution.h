#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_PROMPT_LENGTH_DISTRIBUTION_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_PROMPT_LENGTH_DISTRIBUTION_H_

#include <array>
#include <cstddef>

namespace kingcupdrift {

/// Length bands by powers of two, from 1 token up to over a million.
inline constexpr std::size_t kLengthBands = 21;

/// Band of a length in tokens.
std::size_t LengthBand(double tokens);

/// Learned share of work that comes from prompts of each length.
class PromptLengthDistribution {
 public:
  void Observe(double tokens);
  /// Share of the work in prompts shorter than `tokens`.
  double ShareBelow(double tokens) const;

 private:
  std::array<double, kLengthBands> band_tokens_{};
  double total_ = 0;
};

/// Learned ratio of actual to predicted time to first token, by length.
class PredictionError {
 public:
  PredictionError();

  void Observe(double tokens, double ratio);
  double Mean(double tokens) const { return bands_[LengthBand(tokens)].mean; }
  /// Mean plus twice the mean deviation: seldom exceeded.
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
