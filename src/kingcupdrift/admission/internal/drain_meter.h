#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Backlog of one queue, and the rate at which it drains.
class DrainMeter {
 public:
  /// Rate to assume until one was measured.
  void SetFallbackRate(double tokens_per_second) {
    fallback_ = tokens_per_second;
  }

  void OnEntered(TokenCount tokens, MonotonicTime now);
  void OnStarted(TokenCount tokens, MonotonicTime now);
  void OnAbandoned(TokenCount tokens);

  std::size_t Waiting() const { return waiting_; }
  /// Time until all that waits has started, at the rate of the last seconds.
  Duration DrainTime(MonotonicTime now) const;

 private:
  void CloseWindow(MonotonicTime now);
  double Rate(MonotonicTime now) const;

  double fallback_ = 0;
  double measured_ = 0;
  MonotonicTime measured_at_;
  std::size_t waiting_ = 0;
  double backlog_ = 0;
  /// Tokens started since the queue was last empty or the window closed.
  double started_ = 0;
  MonotonicTime window_start_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
