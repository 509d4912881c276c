#include "kingcupdrift/forwarding/sse_framer.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace kingcupdrift {
namespace {

constexpr std::string_view kIdField = "id:";

/// Length in bytes of the first whole event in `bytes`, its blank line
/// included; 0 if no event is whole. Each line may end with LF or CRLF.
std::size_t FindFirstEventSize(std::string_view bytes) {
  std::size_t next = bytes.find('\n');
  while (next != std::string_view::npos) {
    ++next;
    const std::string_view rest = bytes.substr(next);
    if (rest.starts_with('\n')) {
      return next + 1;
    }
    if (rest.starts_with("\r\n")) {
      return next + 2;
    }
    next = bytes.find('\n', next);
  }
  return 0;
}

/// The numeric `id` field of an event; absent if it has none.
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

/// Calls `handle` with each line of the event, without its end.
template <typename Handler>
void ForEachLine(std::string_view event, Handler handle) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    handle(line);
  }
}

/// Whether event streams in general have such a line.
bool HasStandardField(std::string_view line) {
  constexpr std::array<std::string_view, 4> kFields = {"data", "event", "id",
                                                       "retry"};
  const std::string_view field = line.substr(0, line.find(':'));
  // An empty name before a colon begins a comment.
  return field.empty() ||
         std::find(kFields.begin(), kFields.end(), field) != kFields.end();
}

bool IsInteger(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  text = text.substr(0, text.find_last_not_of(kBlanks) + 1);
  if (text.starts_with('-')) {
    text.remove_prefix(1);
  }
  return !text.empty() && text.find_first_not_of("0123456789") == text.npos;
}

}  // namespace

bool SseFramer::IsVersionLine(std::string_view line) const {
  if (version_field_.empty() || !line.starts_with(version_field_)) {
    return false;
  }
  line.remove_prefix(version_field_.size());
  return line.starts_with(':') && IsInteger(line.substr(1));
}

bool SseFramer::HasOnlyKnownLines(std::string_view event) const {
  bool is_known = true;
  ForEachLine(event, [&](std::string_view line) {
    is_known = is_known && (HasStandardField(line) || IsVersionLine(line));
  });
  return is_known;
}

bool SseFramer::IsWithoutContent(std::string_view event) const {
  bool is_without_content = true;
  ForEachLine(event, [&](std::string_view line) {
    is_without_content =
        is_without_content &&
        (line.empty() || line.starts_with(':') || IsVersionLine(line));
  });
  return is_without_content;
}

Result<std::string> SseFramer::Feed(std::string_view bytes) {
  pending_ += bytes;
  const std::optional<std::uint64_t> returned_id = last_event_id_;
  std::string whole;
  std::size_t start = 0;
  while (true) {
    const std::string_view rest = std::string_view(pending_).substr(start);
    const std::size_t size = FindFirstEventSize(rest);
    if (size == 0) {
      break;
    }
    const Result<EventAction> action = CheckEvent(rest.substr(0, size));
    if (!action) {
      // The events before it are not returned either.
      last_event_id_ = returned_id;
      return tl::unexpected(action.error());
    }
    if (*action == EventAction::kPass) {
      whole += rest.substr(0, size);
    }
    start += size;
  }
  pending_.erase(0, start);
  if (pending_.empty()) {
    // A large read would otherwise stay allocated for the stream's time.
    pending_.shrink_to_fit();
  }
  if (pending_.size() > kMaxEventBytes) {
    return MakeError(ErrorCode::kProtocol, "the unfinished event is too large");
  }
  return whole;
}

void SseFramer::StartAttempt() {
  pending_.clear();
  has_expected_id_ = last_event_id_.has_value();
}

Result<SseFramer::EventAction> SseFramer::CheckEvent(std::string_view event) {
  const std::optional<std::uint64_t> id = ParseEventId(event);
  if (!HasOnlyKnownLines(event)) {
    return MakeError(ErrorCode::kProtocol,
                     "the stream has bytes that are no event");
  }
  if (!id) {
    has_unnumbered_event_ = has_unnumbered_event_ || !IsWithoutContent(event);
    return EventAction::kPass;
  }
  if (has_expected_id_ && *id <= *last_event_id_) {
    return EventAction::kDrop;
  }
  if (has_expected_id_ && *id != *last_event_id_ + 1) {
    return MakeError(ErrorCode::kProtocol, "the stream skips an event");
  }
  last_event_id_ = id;
  has_expected_id_ = true;
  return EventAction::kPass;
}

}  // namespace kingcupdrift
