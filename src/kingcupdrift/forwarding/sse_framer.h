#ifndef KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_
#define KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Cuts an event stream at the borders of its events, wherever the bytes are
/// split, and drops events that the caller already has. The bytes of an event
/// are passed on unchanged.
class SseFramer {
 public:
  /// The caller has all events up to `last_event_id`.
  explicit SseFramer(std::optional<std::uint64_t> last_event_id)
      : last_event_id_(last_event_id) {}

  /// Adds bytes of the present run and returns the whole events among them.
  /// kProtocol if an event is too large, or if a run leaves out an event.
  Result<std::string> Feed(std::string_view bytes);
  /// Another run goes on after the last whole event.
  void StartAttempt();

  /// Identifier of the last event passed on.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }
  /// Bytes of an event that is not whole yet.
  bool HasPartialEvent() const { return !pending_.empty(); }

  /// Far above the events of any engine; bounds what one stream may keep.
  static constexpr std::size_t kMaxEventBytes = 1'000'000;

 private:
  enum class Verdict { kPass, kDrop };
  Result<Verdict> Check(std::string_view event);

  std::string pending_;
  std::optional<std::uint64_t> last_event_id_;
  // A later run must go on exactly behind the last event.
  bool has_expected_id_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_
