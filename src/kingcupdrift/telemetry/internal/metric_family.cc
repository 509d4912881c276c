#include "kingcupdrift/telemetry/internal/metric_family.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcupdrift::internal {
namespace {

std::vector<double> AxisEdges(const std::vector<double>& bounds) {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), bounds.begin(), bounds.end());
  return edges;
}

std::string WithBound(const std::string& labels, const std::string& bound) {
  return fmt::format("{}{}le=\"{}\"", labels, labels.empty() ? "" : ",", bound);
}

}  // namespace

std::string Labels(std::initializer_list<Label> labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    out += fmt::format("{}{}=\"", out.empty() ? "" : ",", name);
    for (const char c : value) {
      if (c == '\\' || c == '"') {
        out += '\\';
      }
      out += c == '\n' ? ' ' : c;
    }
    out += '"';
  }
  return out;
}

void MetricFamily::WriteHeader(std::string_view type, std::string& out) const {
  out += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name_, help_, type);
}

void MetricFamily::WriteSample(std::string_view suffix,
                               const std::string& labels,
                               double value,
                               std::string& out) const {
  if (labels.empty()) {
    out += fmt::format("{}{} {}\n", name_, suffix, value);
    return;
  }
  out += fmt::format("{}{}{{{}}} {}\n", name_, suffix, labels, value);
}

void CounterFamily::Write(std::string& out) const {
  if (values_.empty()) {
    return;
  }
  WriteHeader("counter", out);
  for (const auto& [labels, value] : values_) {
    WriteSample("", labels, value, out);
  }
}

void GaugeFamily::Write(std::string& out) const {
  if (values_.empty()) {
    return;
  }
  WriteHeader("gauge", out);
  for (const auto& [labels, value] : values_) {
    WriteSample("", labels, value, out);
  }
}

HistogramFamily::HistogramFamily(std::string_view name,
                                 std::string_view help,
                                 const std::vector<double>& edges)
    : MetricFamily(name, help),
      histogram_(std::make_tuple(LabelAxis(), TimeAxis(AxisEdges(edges)))) {}

void HistogramFamily::Write(std::string& out) const {
  if (sums_.empty()) {
    return;
  }
  WriteHeader("histogram", out);
  const LabelAxis& labels =
      histogram_.axis(std::integral_constant<unsigned, 0>());
  const TimeAxis& times =
      histogram_.axis(std::integral_constant<unsigned, 1>());
  for (int i = 0; i < labels.size(); ++i) {
    const std::string& label = labels.value(i);
    // Bucket -1 counts values below 0, which belong below the first bound too.
    double count = histogram_.at(i, -1);
    for (int j = 0; j < times.size(); ++j) {
      count += histogram_.at(i, j);
      WriteSample("_bucket",
                  WithBound(label, fmt::format("{}", times.bin(j).upper())),
                  count, out);
    }
    count += histogram_.at(i, times.size());
    WriteSample("_bucket", WithBound(label, "+Inf"), count, out);
    WriteSample("_sum", label, sums_.at(label), out);
    WriteSample("_count", label, count, out);
  }
}

}  // namespace kingcupdrift::internal
