#ifndef KINGCUPDRIFT_FORWARDING_GATEWAY_STOPPER_H_
#define KINGCUPDRIFT_FORWARDING_GATEWAY_STOPPER_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/gateway.h"

namespace kingcupdrift {

/// Carries out a planned stop of an entry (serving process) within a limit, at
/// which it would be killed. Requests in progress may end until
/// `GetAnswerTime` before the limit; what is left then is answered by this
/// entry, so that no caller loses its connection without an answer.
class GatewayStopper {
 public:
  /// `count_unsent` is the number of callers' exchanges whose answer is not
  /// complete and sent. `on_done` is called once, when the process may end.
  /// `gateway` and `clock` outlive this object.
  GatewayStopper(Clock& clock,
                 Gateway& gateway,
                 Duration limit,
                 std::function<std::size_t()> count_unsent,
                 std::function<void()> on_done);

  /// Does nothing if the stop has begun.
  void Begin();

  /// Shortest time that a stop takes. Callers may still use a cached address
  /// answer that names this entry.
  static constexpr Duration kMinTime = std::chrono::seconds(3);
  /// Time to answer callers whose requests have not ended, for this limit: at
  /// most a sixth of it, since work that ends before that must not be cut off.
  static constexpr Duration GetAnswerTime(Duration limit) {
    return std::min<Duration>(std::chrono::milliseconds(500), limit / 6);
  }
  /// The process ends this long before the limit, whatever is left.
  static constexpr Duration GetExitMargin(Duration limit) {
    return GetAnswerTime(limit) / 5;
  }

 private:
  void Check();
  void EndRequests();
  void CheckAnswers();
  bool IsIdle() const;
  Duration GetElapsed() const { return clock_.Now() - began_at_; }

  Clock& clock_;
  Gateway& gateway_;
  Duration limit_;
  std::function<std::size_t()> count_unsent_;
  std::function<void()> on_done_;
  MonotonicTime began_at_{};
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_GATEWAY_STOPPER_H_
