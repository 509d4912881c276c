#ifndef KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_
#define KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Splits an event stream into whole events, however its bytes arrive, looking
/// at each byte a bounded number of times, and drops events that the caller
/// already has, by their numeric `id` field. Events without one are always
/// passed on. The bytes of an event stay unchanged. Bytes that are no event,
/// such as an error's text, are an error. Beside the fields of event streams,
/// an event may have one that engines of the platform add.
class SseFramer {
 public:
  /// The caller has all events up to `last_event_id`. They are dropped only
  /// after `StartAttempt`. `version_field` names the field that tells a new
  /// version of the engine's weights; its value is a number. Empty if engines
  /// send none.
  explicit SseFramer(std::optional<std::uint64_t> last_event_id,
                     std::string version_field = {})
      : last_event_id_(last_event_id),
        version_field_(std::move(version_field)) {}

  /// Adds bytes of the present attempt and returns the events that are whole
  /// now. kProtocol if the bytes of an unfinished event exceed
  /// `kMaxEventBytes`, if an event's number skips one, in a first or a resumed
  /// stream, or if a line of an event has no field of event streams; the whole
  /// events of that call are not returned then. Such a line in an unfinished
  /// event is an error of the first call that has no whole event to return.
  Result<std::string> Feed(std::string_view bytes);
  /// Drops the unfinished event and begins an attempt. The attempt may repeat
  /// numbered events, which are dropped, but must not skip one after
  /// `last_event_id`. To be called before each attempt, the first included.
  void StartAttempt();

  /// Identifier of the last event returned; without one, the value given at
  /// construction.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }
  /// Another attempt can go on where this stream ends: all events that were
  /// accepted so far, except those without content, have numbers.
  bool CanResume() const { return !has_unnumbered_event_; }
  /// An event has begun and is not whole yet.
  bool HasPartialEvent() const { return !pending_.empty(); }
  /// Memory that the unfinished event takes, in bytes.
  std::size_t GetPendingBytes() const {
    return pending_.empty() ? 0 : pending_.capacity();
  }

  /// Bytes looked at so far; a byte that was looked at twice counts twice.
  std::uint64_t examined_bytes() const { return examined_bytes_; }

  /// Limits the bytes kept of an unfinished event; events of engines are far
  /// smaller. A larger event that arrives whole in one `Feed` is passed on.
  static constexpr std::size_t kMaxEventBytes = 1'000'000;

 private:
  /// What the whole lines of the unfinished event say.
  struct EventFacts {
    std::optional<std::uint64_t> id;
    /// A line has no field of event streams.
    bool has_foreign_line = false;
    /// A line is neither empty nor a comment nor a version.
    bool has_content = false;
    /// Bytes of the whole lines, their ends included.
    std::size_t size = 0;
  };
  enum class EventAction { kPass, kDrop };

  /// Takes in a line of the event, without its LF.
  void TakeLine(std::string_view line);
  Result<EventAction> EndEvent();
  bool IsVersionLine(std::string_view line) const;
  /// True if a line of event streams may begin with `part`, which has no LF.
  bool MayBeginLine(std::string_view part) const;

  // The bytes of the unfinished event.
  std::string pending_;
  EventFacts event_;
  std::optional<std::uint64_t> last_event_id_;
  std::string version_field_;
  // The next event must be the one after `last_event_id_`; older ones are
  // dropped.
  bool has_expected_id_ = false;
  bool has_unnumbered_event_ = false;
  std::uint64_t examined_bytes_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_SSE_FRAMER_H_
