#ifndef KINGCUPDRIFT_TELEMETRY_METRICS_H_
#define KINGCUPDRIFT_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Metrics of one entry. Labels are service names and the fixed names of
/// problems, outcomes and operations, so that their number stays bounded.
/// Families without a sample are not written. Recording is cheap: only
/// `ToPrometheusText` formats text. Traffic and CPU time are metrics of the
/// process; the network library writes those.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Time from a request's arrival to its first token, by prompt length.
  void RecordTimeToFirstToken(const ServiceId& service,
                              TokenCount prompt,
                              Duration time);
  /// Time from a request's arrival to its end, whatever the outcome, and the
  /// outcome. `prompt` is 0 for plain services.
  void RecordCompletion(const ServiceId& service,
                        TokenCount prompt,
                        Duration time,
                        Outcome outcome);
  /// Counts a request that ended without having run (`Outcome::kNotRun`).
  /// `problem` is the stable name of the problem type.
  void CountRefusal(std::string_view problem);
  void CountRetry(const ServiceId& service);
  void CountHedge(const ServiceId& service);
  /// Time from a request's arrival to its first dispatch.
  void RecordQueueAge(const ServiceId& service, Duration age);
  /// Delay of an event loop timer beyond its due time.
  void RecordLoopStall(Duration stall);
  /// `operation` such as "get"; `result` is "ok" or an error code's name.
  void CountStoreCall(std::string_view operation, std::string_view result);

  void SetRequestsInProgress(std::size_t count);
  void SetRequestsQueued(const ServiceId& service, std::size_t count);
  /// Generation of the configuration in force.
  void SetGeneration(Generation generation);
  /// Numbers of entries by state.
  void SetMembers(std::size_t alive, std::size_t suspect, std::size_t leaving);
  /// Total of timeline events that were overwritten in the ring.
  void SetDroppedEvents(std::uint64_t count);

  /// Returns all metrics in Prometheus text exposition format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_METRICS_H_
