#include "kingcupdrift/routing/internal/prompt_length_distribution.h"

#include <algorithm>
#include <cmath>

namespace kingcupdrift {
namespace {

/// Factor by which each new prompt reduces the weight of earlier ones.
constexpr double kDecayFactor = 0.999;
constexpr double kErrorSmoothing = 0.1;
constexpr double kMinErrorRatio = 0.25;
constexpr double kMaxErrorRatio = 8;

}  // namespace

std::size_t LengthBand(double tokens) {
  const double band = std::floor(std::log2(std::max(1.0, tokens)));
  return std::min(kLengthBands - 1, static_cast<std::size_t>(band));
}

void PromptLengthDistribution::Observe(double tokens) {
  for (double& tokens_in_band : band_tokens_) {
    tokens_in_band *= kDecayFactor;
  }
  total_ = total_ * kDecayFactor + tokens;
  band_tokens_[LengthBand(tokens)] += tokens;
}

double PromptLengthDistribution::ShareBelow(double tokens) const {
  const std::size_t band = LengthBand(tokens);
  if (total_ <= 0) {
    return static_cast<double>(band) / kLengthBands;
  }
  double below = band_tokens_[band] / 2;
  for (std::size_t i = 0; i < band; ++i) {
    below += band_tokens_[i];
  }
  return std::clamp(below / total_, 0.0, 1.0);
}

PredictionError::PredictionError() = default;

void PredictionError::Observe(double tokens, double ratio) {
  Band& band = bands_[LengthBand(tokens)];
  const double sample = std::clamp(ratio, kMinErrorRatio, kMaxErrorRatio);
  const double error = std::abs(sample - band.mean);
  band.deviation += kErrorSmoothing * (error - band.deviation);
  band.mean += kErrorSmoothing * (sample - band.mean);
}

double PredictionError::UpperBound(double tokens) const {
  const Band& band = bands_[LengthBand(tokens)];
  return band.mean + 2 * band.deviation;
}

}  // namespace kingcupdrift
