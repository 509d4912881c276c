#ifndef KINGCUPDRIFT_NET_INTERNAL_READ_LIMITER_H_
#define KINGCUPDRIFT_NET_INTERNAL_READ_LIMITER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Limits the processor time that the responses of one server take, over all of
/// its connections: a token bucket whose tokens are reads and chunks. Each has
/// a fixed cost, however few bytes it has.
class ReadLimiter {
 public:
  explicit ReadLimiter(MonotonicTime now) : last_refill_(now) {}

  /// Takes the token of a read or a chunk.
  void Take() { tokens_ -= 1; }

  /// Time until which the server's connections should not be read.
  Duration GetPause(MonotonicTime now);
  /// True if nothing is left of past reads.
  bool IsFull(MonotonicTime now);

  /// Far more than the events of a server with hundreds of streams.
  static constexpr double kTokensPerSecond = 25'000;
  static constexpr double kMaxTokens = 25'000;

 private:
  void Refill(MonotonicTime now);

  // Negative after reads that took more than there were.
  double tokens_ = kMaxTokens;
  MonotonicTime last_refill_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_READ_LIMITER_H_
