// Prints the measurements from which docs/CAPACITY.md is derived.

#include <fmt/format.h>

#include <cstdio>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/base/base.h"

namespace {

void Print(const std::vector<kingcupdrift::ScalingMeasurement>& measurements) {
  for (const kingcupdrift::ScalingMeasurement& it : measurements) {
    fmt::print("{}\n", FormatRow(it));
  }
  std::fflush(stdout);
}

}  // namespace

int main() {
  kingcupdrift::SetLogLevel(kingcupdrift::LogLevel::kError);
  fmt::print(
      "| part | quantity | measured | slope | at the planned size |\n"
      "|---|---|---|---|---|\n");
  Print(kingcupdrift::MeasureAdmission());
  Print(kingcupdrift::MeasureRouting());
  Print(kingcupdrift::MeasureConfiguration());
  Print(kingcupdrift::MeasureJournal());
  Print(kingcupdrift::MeasureMembership());
  return 0;
}
