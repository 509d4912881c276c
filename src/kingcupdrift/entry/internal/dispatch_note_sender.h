#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCH_NOTE_SENDER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCH_NOTE_SENDER_H_

#include <cstddef>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/membership/membership.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// Sends notes of recent dispatches to the other entries, since engines' load
/// reports lag behind. The send rate is bounded: notes above the budget wait
/// and share a later message; beyond `kMaxPeers` peers all notes are dropped.
class DispatchNoteSender {
 public:
  DispatchNoteSender(Clock& clock, Membership& membership, Router& router);

  void Start();

  static constexpr Duration kInterval = std::chrono::milliseconds(50);
  /// Mean limit for all peers together.
  static constexpr double kBytesPerSecond = 6000;
  /// Notes are dropped while more peers than this are alive.
  static constexpr std::size_t kMaxPeers = 16;

 private:
  void Tick();
  void Send();

  Clock& clock_;
  Membership& membership_;
  Router& router_;
  /// Bytes that may be sent now; negative after a large message.
  double send_budget_bytes_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCH_NOTE_SENDER_H_
