#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_STORE_SHARING_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_STORE_SHARING_H_

#include <cstddef>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/internal/copy_budget.h"
#include "kingcupdrift/forwarding/internal/gateway_metrics.h"
#include "kingcupdrift/store/store.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Decides how much of its copy of the store an entry (serving process) sends
/// to its peers. Changes that are too large are left out, and the peers read
/// them from the store; small ones never wait for them.
class StoreSharing {
 public:
  /// All arguments outlive this object.
  StoreSharing(const Clock& clock, const StoreMirror& mirror, DecisionLog& log)
      : mirror_(mirror), log_(log), copy_budget_(clock) {}

  /// The answer to a peer that asks for what it lacks.
  StoreStateReplyMessage AnswerPeer(const StoreStateRequestMessage& request);

  /// The copy has changes that were not passed on.
  bool HasNewChanges() const { return passed_on_ != mirror_.position(); }
  /// The changes since the last call, for all `entries` entries.
  StoreStateReplyMessage TakeChanges(std::size_t entries);

  /// Writes its counters.
  void ReportTo(GatewayMetrics& metrics) const;

 private:
  const StoreMirror& mirror_;
  DecisionLog& log_;
  CopyBudget copy_budget_;
  // Position up to which changes were passed on.
  StorePosition passed_on_;
  std::uint64_t copies_sent_ = 0;
  std::uint64_t copies_withheld_ = 0;
  std::uint64_t copy_bytes_sent_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_STORE_SHARING_H_
