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
/// Families without a sample are not written. Recording is cheap; only
/// `ToPrometheusText` formats. Bytes and processor time are metrics of the
/// process, which the network library writes.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Time from arrival to the first token, by the prompt's length.
  void RecordTimeToFirstToken(const ServiceId& service,
                              TokenCount prompt,
                              Duration time);
  /// Time from arrival to the end of the answer, and its outcome.
  void RecordCompletion(const ServiceId& service,
                        TokenCount prompt,
                        Duration time,
                        Outcome outcome);
  /// `problem` is the stable name of the problem type.
  void CountRefusal(std::string_view problem);
  void CountRetry(const ServiceId& service);
  void CountHedge(const ServiceId& service);
  /// Time that a request waited in the queue.
  void RecordQueueAge(const ServiceId& service, Duration age);
  /// How late a loop timer ran.
  void RecordLoopStall(Duration stall);
  /// `operation` such as "get"; `result` is "ok" or an error code's name.
  void CountStoreCall(std::string_view operation, std::string_view result);

  void SetRequestsInProgress(std::size_t count);
  void SetRequestsQueued(const ServiceId& service, std::size_t count);
  void SetGeneration(Generation generation);
  void SetMembers(std::size_t alive, std::size_t suspect, std::size_t leaving);
  void SetDroppedEvents(std::uint64_t count);

  /// Text exposition format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_TELEMETRY_METRICS_H_
