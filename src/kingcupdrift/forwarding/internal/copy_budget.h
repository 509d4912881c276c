#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_COPY_BUDGET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_COPY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Size of the values and patches in an answer to a peer.
inline std::size_t CountValueBytes(const StoreStateReplyMessage& state) {
  std::size_t bytes = 0;
  for (const StoreStateItem& it : state.items) {
    bytes += it.value ? it.value->size() : 0;
  }
  for (const StoreStatePatch& it : state.patches) {
    bytes += it.data.size();
  }
  return bytes;
}

/// Bounds the bytes of the store's contents that an entry (serving process)
/// sends to peers that ask for them, so that its link stays free for requests.
class CopyBudget {
 public:
  explicit CopyBudget(const Clock& clock) : clock_(clock) {}

  /// Counts an answer of this size; false if it must not be sent now. A small
  /// one may always be sent. One of any size may be sent if those before it are
  /// paid for.
  bool TryTake(std::size_t bytes) {
    const MonotonicTime now = clock_.Now();
    if (bytes > kSmallBytes && now < paid_at_) {
      return false;
    }
    const std::chrono::duration<double> cost(static_cast<double>(bytes) /
                                             kBytesPerSecond);
    paid_at_ =
        std::max(paid_at_, now) + std::chrono::duration_cast<Duration>(cost);
    return true;
  }

  /// Half of a link of 20 Mbit/s.
  static constexpr double kBytesPerSecond = 1'250'000;
  static constexpr std::size_t kSmallBytes = 4000;

 private:
  const Clock& clock_;
  // When the answers sent so far are paid for.
  MonotonicTime paid_at_{};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_COPY_BUDGET_H_
