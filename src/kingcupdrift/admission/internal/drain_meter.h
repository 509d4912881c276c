#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Measures the backlog of one queue, in tokens, and its drain rate, in tokens
/// started per second: an exponentially weighted mean over the time in which
/// requests wait. Large requests start minutes apart, so old measurements fade
/// with a time constant of 2 minutes of such time, and are never dropped at
/// once.
class DrainMeter {
 public:
  /// Sets the expected drain rate. It always stays part of the rate, with the
  /// weight of half a second of measurement.
  void SetExpectedRate(double tokens_per_second) {
    expected_rate_ = tokens_per_second;
  }

  void OnEnqueued(TokenCount tokens, MonotonicTime now);
  void OnStarted(TokenCount tokens, MonotonicTime now);
  /// Doesn't count the time since the last update: if no request waits after
  /// this call, that time is missing from the mean, so the rate comes out too
  /// high.
  void OnAbandoned(TokenCount tokens);

  std::size_t Waiting() const { return waiting_; }
  /// Waiting tokens divided by the drain rate, which includes the expected one;
  /// at most an hour, which is also the result for a rate of zero. Zero if the
  /// waiting requests have no tokens.
  Duration DrainTime(MonotonicTime now) const;

 private:
  /// Decays the counts and adds the time since the last call if requests wait.
  void Advance(MonotonicTime now);

  double expected_rate_ = 0;
  std::size_t waiting_ = 0;
  double backlog_ = 0;
  /// Tokens started, and seconds in which requests waited; both decay.
  double started_ = 0;
  double seconds_ = 0;
  MonotonicTime updated_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
