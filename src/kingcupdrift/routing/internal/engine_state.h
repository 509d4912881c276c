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

/// Work that waits at an engine, in prompt tokens, split into work ahead of and
/// behind a request of a given engine priority. Work of equal priority is
/// ahead.
struct BacklogSplit {
  double tokens_ahead = 0;
  double tokens_behind = 0;
  /// Requests behind, not reduced by the prefill progress since the report.
  double requests_behind = 0;
};

/// View that this entry (the serving process) has of one engine: its last
/// report, corrected by the work that entries sent since, and rates learned
/// over time.
class EngineState {
 public:
  explicit EngineState(EngineConfig config);

  const EngineConfig& config() const { return config_; }
  void SetConfig(const EngineConfig& config) { config_ = config; }

  /// Replaces the last report, unless both sequence and time of measurement of
  /// `report` are earlier than those of the last one, and marks the attempts
  /// that it counts, so that they are not counted twice.
  void OnReport(MonotonicTime now, const EngineReport& report);
  void OnReportFailed() { ++failed_reports_; }

  /// Adds an attempt of this entry that is led by this engine to the requests
  /// in flight and the waiting tokens; its memory is added by `AddMemoryUse`.
  /// The pointer is not owned and must stay valid until `Remove`.
  void Add(LocalAttempt* attempt);
  void Remove(const LocalAttempt* attempt);
  /// Adds work that another entry sent, until a report covers it. Repeated
  /// notes are ignored.
  void AddRemoteAttempt(MonotonicTime now, const DispatchNote& note);
  /// Adds memory that an attempt of this entry occupies, whether this engine
  /// leads it or is a group member, or removes it at the attempt's end. A
  /// report discards all of it except that of led attempts which it does not
  /// count.
  void AddMemoryUse(double tokens) { unreported_memory_ += tokens; }
  void RemoveMemoryUse(double tokens);
  /// Updates the prefill rate from an attempt that found the engine idle.
  /// `tokens`: prompt tokens that were not cached; fewer than 500 are ignored.
  /// `time`: from the dispatch to the first token; it includes one engine step,
  /// which is subtracted.
  void ObservePrefill(double tokens, Duration time);
  /// Updates the accuracy of predicted cached prefixes. `expected`: cached
  /// tokens by the prefix index. `actual`: cached tokens that the engine found.
  void ObserveCached(double expected, double actual);

  /// Returns whether fewer than `kFailedReportsToExclude` reports in a row have
  /// failed.
  bool IsAnswering() const { return failed_reports_ < kFailedReportsToExclude; }
  /// Returns how far the age of the last report exceeds the larger of
  /// `kMinStalenessLimit` and `kReportGapsToStale` usual gaps between reports,
  /// at most `kMaxExcessStaleness`; zero before the first report.
  Duration ComputeExcessStaleness(MonotonicTime now) const;

  /// Returns the work that waits at `now`, split around the engine priority
  /// `priority`. The tokens are reduced by what the engine can have prefilled
  /// since the report. `share_ahead`: share of other entries' waiting work that
  /// is expected to run before a request of this priority.
  BacklogSplit SplitBacklog(MonotonicTime now,
                            int priority,
                            double share_ahead) const;
  /// Returns all prompt tokens that wait at `now`.
  double Backlog(MonotonicTime now) const;
  std::uint32_t InFlight() const;
  /// Returns the free memory in tokens; 1e9 if neither reported nor configured.
  double FreeMemory() const;
  /// Returns the memory in tokens; 1e9 if neither reported nor configured.
  double TotalMemory() const;
  /// Returns the prefill speed in tokens a second, reported or learned, or else
  /// `kDefaultPrefillRate`.
  double PrefillRate() const;
  /// Returns whether the engine's last report states its prefill speed, so that
  /// it need not be learned from attempts.
  bool ReportsPrefillRate() const { return report_.prefill_rate > 0; }
  /// Returns whether a prefill speed was reported or learned. Otherwise
  /// `PrefillRate` returns `kDefaultPrefillRate`.
  bool KnowsPrefillRate() const { return prefill_rate_ > 0; }
  /// Returns the time of one engine step in seconds, the least time between
  /// tokens.
  double StepSeconds() const;
  /// Returns the share of the cached tokens expected by the prefix index that
  /// this engine did find cached, smoothed over attempts.
  double CachePredictionAccuracy() const { return cache_prediction_accuracy_; }

  /// Failed reports in a row from which an engine is not used.
  static constexpr int kFailedReportsToExclude = 2;
  /// A report is stale once it is older than this and than `kReportGapsToStale`
  /// times the usual gap between reports.
  static constexpr Duration kMinStalenessLimit =
      std::chrono::milliseconds(1500);
  static constexpr double kReportGapsToStale = 3;
  static constexpr Duration kMaxExcessStaleness = std::chrono::seconds(10);
  /// Limit of attempts of other entries kept for one engine; the oldest are
  /// dropped.
  static constexpr std::size_t kMaxRemoteAttempts = 64;
  /// A report made later than this after a note's arrival covers the attempt,
  /// even if it does not list it.
  static constexpr Duration kRemoteAttemptGracePeriod =
      std::chrono::milliseconds(100);
  /// Prefill speed, in tokens a second, assumed until one is reported or
  /// learned.
  static constexpr double kDefaultPrefillRate = 10'000;
  /// Step time assumed until a decode rate is reported.
  static constexpr double kDefaultStepSeconds = 0.03;

 private:
  /// Work that another entry sent and that no report covers yet.
  struct RemoteAttempt {
    AttemptId attempt;
    int priority = 0;
    double prefill = 0;
    double memory = 0;
    MonotonicTime received;
  };

  /// Prompt tokens that the engine can have prefilled since the last report.
  double DrainedTokens(MonotonicTime now) const;
  bool IsInReport(const AttemptId& attempt) const;
  void DropReportedRemoteAttempts();

  EngineConfig config_;
  EngineReport report_;
  bool has_report_ = false;
  MonotonicTime report_time_;
  /// Smoothed time between reports, in microseconds.
  double report_gap_us_ = 0;
  int failed_reports_ = 0;
  /// Waiting tokens and requests of the report that other entries sent.
  double remote_waiting_tokens_ = 0;
  double remote_waiting_requests_ = 0;
  double prefill_rate_ = 0;
  double cache_prediction_accuracy_ = 1;
  /// Memory of this entry's attempts that the report does not count.
  double unreported_memory_ = 0;
  std::vector<LocalAttempt*> local_attempts_;
  std::vector<RemoteAttempt> remote_attempts_;
  /// Attempts that the last report counts, sorted.
  std::vector<AttemptId> reported_attempts_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_ENGINE_STATE_H_
