#ifndef BENCH_CAPACITY_SCALING_MEASUREMENT_H_
#define BENCH_CAPACITY_SCALING_MEASUREMENT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace kingcupdrift {

/// Bytes on the heap now, by the C library's count.
std::size_t HeapBytes();
/// Processor time of this process, in seconds.
double CpuSeconds();

/// One measured quantity at one size.
struct Sample {
  double size = 0;
  double value = 0;
};

/// A quantity measured at several sizes, with its least-squares line.
struct ScalingMeasurement {
  std::string part;
  std::string quantity;
  std::string unit;
  std::string size_unit;
  std::vector<Sample> samples;
  /// Size at the planned fleet.
  double planned_size = 0;

  double ComputeSlope() const;
  double ComputeIntercept() const;
  /// The line's value at the planned size.
  double PredictAtPlannedSize() const;
};

/// One row of the Markdown table.
std::string FormatRow(const ScalingMeasurement& slope);

/// The measurements, each at three sizes or more.
std::vector<ScalingMeasurement> MeasureMembership();
std::vector<ScalingMeasurement> MeasureConfiguration();
std::vector<ScalingMeasurement> MeasureAdmission();
std::vector<ScalingMeasurement> MeasureRouting();
std::vector<ScalingMeasurement> MeasureJournal();

}  // namespace kingcupdrift

#endif  // BENCH_CAPACITY_SCALING_MEASUREMENT_H_
