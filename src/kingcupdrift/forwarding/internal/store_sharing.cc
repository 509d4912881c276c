#include "kingcupdrift/forwarding/internal/store_sharing.h"

#include <utility>

namespace kingcupdrift {
namespace {

/// Most bytes of one change that an entry sends to all others together: 0.2 s
/// of a link of 20 Mbit/s.
constexpr std::size_t kMaxPassedOnBytes = 500'000;

}  // namespace

StoreStateReplyMessage StoreSharing::AnswerPeer(
    const StoreStateRequestMessage& request) {
  std::optional<StoreStateReplyMessage> changes;
  if (request.accepts_changes) {
    changes = mirror_.ChangesAfter(request.position, request.accepts_patches);
  }
  const bool is_copy = !changes;
  StoreStateReplyMessage state =
      changes ? *std::move(changes) : mirror_.StateAfter(request.position);
  const std::size_t bytes = CountValueBytes(state);
  const bool is_sent = copy_budget_.TryTake(bytes);
  log_.Add("gateway", "store_copy")
      .Text("answer", is_sent ? (is_copy ? "copy" : "changes") : "withheld")
      .Number("after", request.position.version.value())
      .Number("bytes", static_cast<std::int64_t>(bytes));
  if (is_sent) {
    ++copies_sent_;
    copy_bytes_sent_ += bytes;
    return state;
  }
  ++copies_withheld_;
  if (is_copy || !request.accepts_patches) {
    return mirror_.MakeChangeNotice();
  }
  LeaveOutLargeChanges(state);
  return state;
}

StoreStateReplyMessage StoreSharing::TakeChanges(std::size_t entries) {
  const auto can_send = [entries](const StoreStateReplyMessage& changes) {
    return CountValueBytes(changes) * entries <= kMaxPassedOnBytes;
  };
  const StorePosition before = std::exchange(passed_on_, mirror_.position());
  std::optional<StoreStateReplyMessage> changes =
      mirror_.ChangesAfter(before, true);
  if (!changes) {
    return mirror_.MakeChangeNotice();
  }
  if (can_send(*changes)) {
    return *std::move(changes);
  }
  log_.Add("gateway", "store_notice")
      .Number("version", mirror_.version().value())
      .Number("bytes", static_cast<std::int64_t>(CountValueBytes(*changes)));
  LeaveOutLargeChanges(*changes);
  return can_send(*changes) ? *std::move(changes) : mirror_.MakeChangeNotice();
}

void StoreSharing::ReportTo(GatewayMetrics& metrics) const {
  metrics.copies_sent = copies_sent_;
  metrics.copies_withheld = copies_withheld_;
  metrics.copy_bytes_sent = copy_bytes_sent_;
}

}  // namespace kingcupdrift
