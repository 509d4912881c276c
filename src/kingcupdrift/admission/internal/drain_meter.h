#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Measures the backlog of one queue and its drain rate, an exponentially
/// weighted mean over the time in which requests wait. Large requests start
/// minutes apart, so measurements decay over minutes and are never dropped at
/// once.
class DrainMeter {
 public:
  /// Sets the prior of the drain rate. It stays part of the rate with the
  /// weight of half a second of measurement.
  void SetFallbackRate(double tokens_per_second) {
    fallback_ = tokens_per_second;
  }

  void OnEnqueued(TokenCount tokens, MonotonicTime now);
  void OnStarted(TokenCount tokens, MonotonicTime now);
  void OnAbandoned(TokenCount tokens);

  std::size_t Waiting() const { return waiting_; }
  /// Time until all waiting requests have started, at the rate of the last
  /// minutes; at most an hour.
  Duration DrainTime(MonotonicTime now) const;

 private:
  /// Decays the counts and adds the time since the last call if requests wait.
  void Advance(MonotonicTime now);

  double fallback_ = 0;
  std::size_t waiting_ = 0;
  double backlog_ = 0;
  /// Tokens started, and seconds in which requests waited; both decay.
  double started_ = 0;
  double seconds_ = 0;
  MonotonicTime updated_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
