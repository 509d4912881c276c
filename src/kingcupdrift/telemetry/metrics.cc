#include "kingcupdrift/telemetry/metrics.h"

#include <array>
#include <vector>

#include "kingcupdrift/telemetry/internal/metric_family.h"

namespace kingcupdrift {
namespace {

using internal::CounterFamily;
using internal::GaugeFamily;
using internal::HistogramFamily;
using internal::Labels;

struct PromptBand {
  std::string_view name;
  /// Exclusive upper bound of the prompt length, in tokens.
  std::int64_t end;
};

constexpr std::array<PromptBand, 4> kPromptBands = {{
    {"1-8k", 8'000},
    {"8-32k", 32'000},
    {"32-100k", 100'000},
    {"100k-1M", INT64_MAX},
}};

std::string_view PromptBandName(TokenCount prompt) {
  for (const PromptBand& it : kPromptBands) {
    if (prompt.value() < it.end) {
      return it.name;
    }
  }
  return kPromptBands.back().name;
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

const std::vector<double>& RequestEdges() {
  static const std::vector<double> edges = {0.01, 0.025, 0.05, 0.1, 0.2, 0.33,
                                            0.5,  1,     2,    5,   10,  20,
                                            30,   60,    120,  300, 600, 1800};
  return edges;
}

const std::vector<double>& StallEdges() {
  static const std::vector<double> edges = {
      0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1};
  return edges;
}

}  // namespace

class Metrics::Impl {
 public:
  HistogramFamily first_token{"kingcupdrift_first_token_seconds",
                              "Time from arrival to the first token.",
                              RequestEdges()};
  HistogramFamily completion{
      "kingcupdrift_completion_seconds",
      "Time from arrival to the end, whatever the outcome.", RequestEdges()};
  HistogramFamily queue_age{"kingcupdrift_queue_age_seconds",
                            "Time from arrival to the first dispatch.",
                            RequestEdges()};
  HistogramFamily loop_stall{
      "kingcupdrift_loop_stall_seconds",
      "Delay of event loop timers beyond their due time.", StallEdges()};
  CounterFamily completions{"kingcupdrift_completions_total",
                            "Requests that ended, by outcome."};
  CounterFamily refusals{
      "kingcupdrift_refusals_total",
      "Requests that ended without having run, by type of problem."};
  CounterFamily retries{"kingcupdrift_retries_total", "Retries of requests."};
  CounterFamily hedges{"kingcupdrift_hedges_total", "Hedged attempts."};
  CounterFamily store_calls{"kingcupdrift_store_calls_total",
                            "Calls to the platform's store, by result."};
  CounterFamily dropped_events{"kingcupdrift_timeline_events_dropped_total",
                               "Timeline events overwritten in the ring."};
  GaugeFamily in_progress{"kingcupdrift_requests_in_progress",
                          "Requests that have arrived and not ended."};
  GaugeFamily queued{"kingcupdrift_requests_queued",
                     "Requests waiting in the queue."};
  GaugeFamily generation{"kingcupdrift_configuration_generation",
                         "Generation of the configuration in force."};
  GaugeFamily members{"kingcupdrift_members",
                      "Other instances known, by state."};
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::RecordTimeToFirstToken(const ServiceId& service,
                                     TokenCount prompt,
                                     Duration time) {
  impl_->first_token.Record(Labels({{"service", service.value()},
                                    {"prompt", PromptBandName(prompt)}}),
                            Seconds(time));
}

void Metrics::RecordCompletion(const ServiceId& service,
                               TokenCount prompt,
                               Duration time,
                               Outcome outcome) {
  impl_->completion.Record(Labels({{"service", service.value()},
                                   {"prompt", PromptBandName(prompt)}}),
                           Seconds(time));
  impl_->completions.Add(Labels(
      {{"service", service.value()}, {"outcome", GetOutcomeName(outcome)}}));
}

void Metrics::CountRefusal(std::string_view problem) {
  impl_->refusals.Add(Labels({{"type", problem}}));
}

void Metrics::CountRetry(const ServiceId& service) {
  impl_->retries.Add(Labels({{"service", service.value()}}));
}

void Metrics::CountHedge(const ServiceId& service) {
  impl_->hedges.Add(Labels({{"service", service.value()}}));
}

void Metrics::RecordQueueAge(const ServiceId& service, Duration age) {
  impl_->queue_age.Record(Labels({{"service", service.value()}}), Seconds(age));
}

void Metrics::RecordLoopStall(Duration stall) {
  impl_->loop_stall.Record("", Seconds(stall));
}

void Metrics::CountStoreCall(std::string_view operation,
                             std::string_view result) {
  impl_->store_calls.Add(
      Labels({{"operation", operation}, {"result", result}}));
}

void Metrics::SetRequestsInProgress(std::size_t count) {
  impl_->in_progress.Set("", static_cast<double>(count));
}

void Metrics::SetRequestsQueued(const ServiceId& service, std::size_t count) {
  impl_->queued.Set(Labels({{"service", service.value()}}),
                    static_cast<double>(count));
}

void Metrics::SetGeneration(Generation generation) {
  impl_->generation.Set("", static_cast<double>(generation.value()));
}

void Metrics::SetMembers(std::size_t alive,
                         std::size_t suspect,
                         std::size_t leaving) {
  impl_->members.Set(Labels({{"state", "alive"}}), static_cast<double>(alive));
  impl_->members.Set(Labels({{"state", "suspect"}}),
                     static_cast<double>(suspect));
  impl_->members.Set(Labels({{"state", "leaving"}}),
                     static_cast<double>(leaving));
}

void Metrics::SetDroppedEvents(std::uint64_t count) {
  impl_->dropped_events.Set("", static_cast<double>(count));
}

std::string Metrics::ToPrometheusText() const {
  std::string out;
  impl_->first_token.Write(out);
  impl_->completion.Write(out);
  impl_->queue_age.Write(out);
  impl_->loop_stall.Write(out);
  impl_->completions.Write(out);
  impl_->refusals.Write(out);
  impl_->retries.Write(out);
  impl_->hedges.Write(out);
  impl_->store_calls.Write(out);
  impl_->dropped_events.Write(out);
  impl_->in_progress.Write(out);
  impl_->queued.Write(out);
  impl_->generation.Write(out);
  impl_->members.Write(out);
  return out;
}

}  // namespace kingcupdrift
