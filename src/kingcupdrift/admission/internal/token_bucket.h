#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_TOKEN_BUCKET_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_TOKEN_BUCKET_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Token bucket that admits a request while it is not empty and may go into
/// debt, so that a request larger than the burst can still pass.
class TokenBucket {
 public:
  /// `rate` is in units per second; `burst` is the capacity of the bucket.
  TokenBucket(double rate, double burst, MonotonicTime now)
      : rate_(rate), burst_(burst), available_(burst), updated_(now) {}

  /// Keeps the level or the debt; a level above the new burst is cut to it.
  void SetRate(double rate, double burst, MonotonicTime now);
  bool HasTokens(MonotonicTime now);
  void Charge(double amount, MonotonicTime now);
  void Refund(double amount, MonotonicTime now);
  /// Time until `HasTokens` is true, at most 1e6 s; that is also the result if
  /// the bucket is empty and the rate is zero.
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
