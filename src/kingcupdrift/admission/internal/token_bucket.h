#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_TOKEN_BUCKET_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_TOKEN_BUCKET_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Token bucket that admits while anything is left and may go into debt, so
/// that a request larger than the burst can still pass.
class TokenBucket {
 public:
  /// `rate` in units a second; `burst` is the most that can be saved.
  TokenBucket(double rate, double burst, MonotonicTime now)
      : rate_(rate), burst_(burst), available_(burst), updated_(now) {}

  void SetRate(double rate, double burst, MonotonicTime now);
  bool HasTokens(MonotonicTime now);
  void Charge(double amount, MonotonicTime now);
  void Refund(double amount, MonotonicTime now);
  /// Time until `HasTokens` holds.
  Duration TimeUntilAvailable(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);

  double rate_;
  double burst_;
  double available_;
  MonotonicTime updated_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_TOKEN_BUCKET_H_
