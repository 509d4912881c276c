#include "bench/capacity/scaling_measurement.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>

namespace kingcupdrift {
namespace {

struct Line {
  double slope = 0;
  double intercept = 0;
};

Line Fit(const std::vector<Sample>& samples) {
  double n = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Sample& it : samples) {
    n += 1;
    sum_x += it.size;
    sum_y += it.value;
    sum_xx += it.size * it.size;
    sum_xy += it.size * it.value;
  }
  const double spread = n * sum_xx - sum_x * sum_x;
  Line line;
  line.slope = spread == 0 ? 0 : (n * sum_xy - sum_x * sum_y) / spread;
  line.intercept = (sum_y - line.slope * sum_x) / n;
  return line;
}

}  // namespace

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

double ScalingMeasurement::ComputeSlope() const {
  return Fit(samples).slope;
}

double ScalingMeasurement::ComputeIntercept() const {
  return Fit(samples).intercept;
}

double ScalingMeasurement::PredictAtPlannedSize() const {
  const Line line = Fit(samples);
  return line.intercept + line.slope * planned_size;
}

std::string FormatRow(const ScalingMeasurement& measurement) {
  std::string measured;
  for (const Sample& it : measurement.samples) {
    measured += fmt::format("{}{:.3g} at {:.0f}", measured.empty() ? "" : ", ",
                            it.value, it.size);
  }
  return fmt::format("| {} | {} ({}) | {} | {:.3g} per {} | {:.3g} at {:.0f} |",
                     measurement.part, measurement.quantity, measurement.unit,
                     measured, measurement.ComputeSlope(),
                     measurement.size_unit, measurement.PredictAtPlannedSize(),
                     measurement.planned_size);
}

}  // namespace kingcupdrift
