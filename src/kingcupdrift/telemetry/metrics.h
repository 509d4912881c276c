#ifndef KINGCUPDRIFT_TELEMETRY_METRICS_H_
#define KINGCUPDRIFT_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Metrics of one entry (serving process). Labels are service names and the
/// fixed names of problems, outcomes and operations, so that their number stays
/// bounded. Families without a sample are not written. Recording is cheap: only
/// `ToPrometheusText` formats text. Traffic and CPU time are metrics of the
/// process and not held here; the network library writes those.
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
  /// Time from a request's arrival to its end, and the outcome, for each
  /// request of any service that ends, whatever the outcome. Calls refused
  /// before a request was made for them are left out. `prompt` is 0 for plain
  /// services, which get the label of the shortest prompts.
  void RecordCompletion(const ServiceId& service,
                        TokenCount prompt,
                        Duration time,
                        Outcome outcome);
  /// Counts a request that was answered with a problem without having run
  /// (`Outcome::kNotRun`). Requests whose caller disconnected before they ran
  /// are not counted. `problem` is the stable name of the problem type.
  void CountRefusal(std::string_view problem);
  void CountRetry(const ServiceId& service);
  /// The entry does not call this.
  void CountHedge(const ServiceId& service);
  /// Time from a request's arrival to its first dispatch.
  void RecordQueueAge(const ServiceId& service, Duration age);
  /// Delay of an event loop timer beyond its due time. The entry does not call
  /// this.
  void RecordLoopStall(Duration stall);
  /// `operation` such as "get"; `result` is "ok" or an error code's name.
  void CountStoreCall(std::string_view operation, std::string_view result);

  void SetRequestsInProgress(std::size_t count);
  void SetRequestsQueued(const ServiceId& service, std::size_t count);
  /// Generation of the configuration in force.
  void SetGeneration(Generation generation);
  /// Numbers of other entries by state, without dead ones.
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
