#ifndef BENCH_CAPACITY_SCALING_MEASUREMENT_H_
#define BENCH_CAPACITY_SCALING_MEASUREMENT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace kingcupdrift {

/// Bytes allocated on the heap now, as counted by the C library.
std::size_t HeapBytes();
/// Processor time of this process in seconds.
double CpuSeconds();

/// One measured quantity at one size.
struct Sample {
  double size = 0;
  double value = 0;
};

/// A quantity measured at several sizes, with its least-squares line.
struct ScalingMeasurement {
  /// Part of the software that is measured, such as "membership".
  std::string part;
  std::string quantity;
  std::string unit;
  /// Noun in the singular that the size counts, such as "workspace".
  std::string size_unit;
  std::vector<Sample> samples;
  /// Size in the planned fleet.
  double planned_size = 0;

  /// Increase of the value for each unit of size.
  double ComputeSlope() const;
  double ComputeIntercept() const;
  /// The line's value at the planned size.
  double PredictAtPlannedSize() const;
};

/// Formats one row of the Markdown table that main.cc prints.
std::string FormatRow(const ScalingMeasurement& measurement);

/// Run the measurements, each at three sizes or more.
std::vector<ScalingMeasurement> MeasureMembership();
std::vector<ScalingMeasurement> MeasureConfiguration();
std::vector<ScalingMeasurement> MeasureAdmission();
std::vector<ScalingMeasurement> MeasureRouting();
std::vector<ScalingMeasurement> MeasureJournal();

}  // namespace kingcupdrift

#endif  // BENCH_CAPACITY_SCALING_MEASUREMENT_H_
