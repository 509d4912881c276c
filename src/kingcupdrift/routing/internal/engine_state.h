#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_STATE_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_STATE_H_

#include <cstdint>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/routing/internal/local_attempt.h"
#include "kingcupdrift/routing/route.h"

namespace kingcupdrift {

/// Work that waits at an engine, in prompt tokens and requests, split by
/// whether it runs before or after a request of a given priority.
struct BacklogSplit {
  double tokens_ahead = 0;
  double tokens_behind = 0;
  double requests_behind = 0;
};

/// What this entry knows of one engine: its last report, corrected by what this
/// entry sent since, and rates learned over time.
class EngineState {
 public:
  explicit EngineState(EngineConfig config);

  const EngineConfig& config() const { return config_; }
  void SetConfig(const EngineConfig& config) { config_ = config; }

  void OnReport(MonotonicTime now, const EngineReport& report);
  void OnReportFailed() { ++failed_reports_; }

  void Add(LocalAttempt* attempt);
  void Remove(const LocalAttempt* attempt);
  /// Work that another entry sent. It counts until a report covers it.
  void AddRemoteAttempt(MonotonicTime now, const DispatchNote& note);
  /// Memory taken or given back by an attempt, led here or elsewhere.
  void AddMemoryUse(double tokens) { unreported_memory_ += tokens; }
  void RemoveMemoryUse(double tokens);
  /// Learns from an attempt that found the engine idle.
  void ObservePrefill(double tokens, Duration time);
  /// Learns how well the cached prefixes were predicted.
  void ObserveCached(double expected, double actual);

  /// The engine answers: neither reports nor anything else failed lately.
  bool IsAnswering() const { return failed_reports_ < kFailedReportsToExclude; }
  /// Time without a report beyond what is normal; zero when it is trusted.
  Duration ComputeExcessStaleness(MonotonicTime now) const;

  /// `share_ahead`: share of other entries' waiting work that is expected to
  /// run before a request of this priority.
  BacklogSplit SplitBacklog(MonotonicTime now,
                            int priority,
                            double share_ahead) const;
  /// All prompt tokens that wait, as of `now`.
  double Backlog(MonotonicTime now) const;
  std::uint32_t InFlight() const;
  /// Memory that is not taken, in tokens.
  double FreeMemory() const;
  double TotalMemory() const;
  /// Prefill speed, tokens a second.
  double PrefillRate() const;
  /// The engine reports its own prefill speed, which needs no learning.
  bool ReportsRate() const { return report_.prefill_rate > 0; }
  bool HasRate() const { return prefill_rate_ > 0; }
  /// Seconds of one engine step, the least time between tokens.
  double StepSeconds() const;
  /// Share of expected cached tokens that proved to be cached.
  double CachePredictionAccuracy() const { return cache_prediction_accuracy_; }

  /// Failed reports in a row after which an engine is not used.
  static constexpr int kFailedReportsToExclude = 2;
  /// Age of a report from which an engine is doubted, at the least; where
  /// reports come rarely, `kReportGapsToStale` times their usual gap.
  static constexpr Duration kMinStalenessLimit =
      std::chrono::milliseconds(1500);
  static constexpr double kReportGapsToStale = 3;
  static constexpr Duration kMaxExcessStaleness = std::chrono::seconds(10);
  /// Notes of other entries kept for one engine, at most.
  static constexpr std::size_t kMaxRemoteAttempts = 64;
  /// Time from a note to a report that must show the attempt.
  static constexpr Duration kRemoteAttemptGracePeriod =
      std::chrono::milliseconds(100);
  static constexpr double kDefaultPrefillRate = 10'000;
  static constexpr double kDefaultStepSeconds = 0.03;

 private:
  /// Work sent by another entry, not yet in a report.
  struct RemoteAttempt {
    AttemptId attempt;
    int priority = 0;
    double prefill = 0;
    double memory = 0;
    MonotonicTime received;
  };

  double DrainedTokens(MonotonicTime now) const;
  bool IsInReport(const AttemptId& attempt) const;
  void DropReportedRemoteAttempts();

  EngineConfig config_;
  EngineReport report_;
  bool has_report_ = false;
  MonotonicTime report_time_;
  /// Usual time between reports, in microseconds.
  double report_gap_us_ = 0;
  int failed_reports_ = 0;
  /// Reported waiting tokens and requests that this entry did not send.
  double remote_waiting_tokens_ = 0;
  double remote_waiting_requests_ = 0;
  double prefill_rate_ = 0;
  double cache_prediction_accuracy_ = 1;
  /// Memory of own attempts that the report does not account for.
  double unreported_memory_ = 0;
  std::vector<LocalAttempt*> local_attempts_;
  std::vector<RemoteAttempt> remote_attempts_;
  /// Attempts of the last report, sorted.
  std::vector<AttemptId> reported_attempts_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_STATE_H_
