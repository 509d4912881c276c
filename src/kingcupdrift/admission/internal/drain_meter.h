#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Backlog of one queue, and the rate at which it drains while something waits.
/// Large requests start minutes apart, so the rate fades over minutes and is
/// never dropped at once.
class DrainMeter {
 public:
  /// Rate to assume until one was measured.
  void SetFallbackRate(double tokens_per_second) {
    fallback_ = tokens_per_second;
  }

  void OnEnqueued(TokenCount tokens, MonotonicTime now);
  void OnStarted(TokenCount tokens, MonotonicTime now);
  void OnAbandoned(TokenCount tokens);

  std::size_t Waiting() const { return waiting_; }
  /// Time until all that waits has started, at the rate of the last minutes.
  Duration DrainTime(MonotonicTime now) const;

 private:
  /// Fades what was counted and adds the time since the last call.
  void Advance(MonotonicTime now);

  double fallback_ = 0;
  std::size_t waiting_ = 0;
  double backlog_ = 0;
  /// Tokens started, and seconds in which something waited; both fade.
  double started_ = 0;
  double seconds_ = 0;
  MonotonicTime updated_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_DRAIN_METER_H_
