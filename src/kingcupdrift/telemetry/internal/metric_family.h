#ifndef KINGCUPDRIFT_TELEMETRY_INTERNAL_METRIC_FAMILY_H_
#define KINGCUPDRIFT_TELEMETRY_INTERNAL_METRIC_FAMILY_H_

#include <boost/histogram.hpp>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace kingcupdrift::internal {

/// Name and value of one label.
using Label = std::pair<std::string_view, std::string_view>;
/// Joins labels into Prometheus label text, such as `a="x",b="y"`. Escapes
/// quotes and backslashes in the values and replaces line ends by spaces.
std::string Labels(std::initializer_list<Label> labels);

/// Base of the metric families: writes a family's header and sample lines.
class MetricFamily {
 public:
  MetricFamily(std::string_view name, std::string_view help)
      : name_(name), help_(help) {}

 protected:
  void WriteHeader(std::string_view type, std::string& out) const;
  void WriteSample(std::string_view suffix,
                   const std::string& labels,
                   double value,
                   std::string& out) const;

 private:
  std::string_view name_;
  std::string_view help_;
};

/// Counters, by label text.
class CounterFamily : public MetricFamily {
 public:
  using MetricFamily::MetricFamily;

  void Add(const std::string& labels, double n = 1) { values_[labels] += n; }
  /// Sets a total that is counted elsewhere.
  void Set(const std::string& labels, double total) { values_[labels] = total; }
  void Write(std::string& out) const;

 private:
  std::map<std::string, double> values_;
};

/// Values that can rise and fall, by label text.
class GaugeFamily : public MetricFamily {
 public:
  using MetricFamily::MetricFamily;

  void Set(const std::string& labels, double value) { values_[labels] = value; }
  void Write(std::string& out) const;

 private:
  std::map<std::string, double> values_;
};

/// Histograms of times in seconds, by label text.
class HistogramFamily : public MetricFamily {
 public:
  /// `edges` are the upper bounds of the buckets in seconds, in rising order.
  HistogramFamily(std::string_view name,
                  std::string_view help,
                  const std::vector<double>& edges);

  void Record(const std::string& labels, double seconds) {
    histogram_(labels, seconds);
    sums_[labels] += seconds;
  }
  void Write(std::string& out) const;

 private:
  using LabelAxis = boost::histogram::axis::category<
      std::string,
      boost::histogram::use_default,
      boost::histogram::axis::option::growth_t>;
  using TimeAxis = boost::histogram::axis::variable<double>;
  using Histogram =
      boost::histogram::histogram<std::tuple<LabelAxis, TimeAxis>>;

  Histogram histogram_;
  std::map<std::string, double> sums_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_TELEMETRY_INTERNAL_METRIC_FAMILY_H_
