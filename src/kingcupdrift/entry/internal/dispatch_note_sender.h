#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCH_NOTE_SENDER_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_DISPATCH_NOTE_SENDER_H_

#include <cstddef>
#include <memory>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/membership/membership.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// Tells the other entries of recent dispatches, so that they need not wait for
/// the engines' lagging reports. Sent bytes are bounded: where many entries
/// share few engines, notes are merged or, beyond `kMaxPeers`, not sent at all.
class DispatchNoteSender {
 public:
  DispatchNoteSender(Clock& clock, Membership& membership, Router& router);

  void Start();

  static constexpr Duration kInterval = std::chrono::milliseconds(50);
  /// Bytes a second to all peers together.
  static constexpr double kBytesPerSecond = 6000;
  /// Serving peers up to which notes are sent.
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
