#include "kingcupdrift/forwarding/sse_framer.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace kingcupdrift {
namespace {

constexpr char kForeignBytes[] = "the stream has bytes that are no event";

/// Fields of event streams in general.
constexpr std::array<std::string_view, 4> kFields = {"data", "event", "id",
                                                     "retry"};

/// The numeric value of an `id` line; absent for other lines.
std::optional<std::uint64_t> ParseEventId(std::string_view line) {
  constexpr std::string_view kIdField = "id:";
  if (!line.starts_with(kIdField)) {
    return std::nullopt;
  }
  line.remove_prefix(kIdField.size());
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  std::uint64_t id = 0;
  const auto result =
      std::from_chars(line.data(), line.data() + line.size(), id);
  return result.ec == std::errc() ? std::optional(id) : std::nullopt;
}

/// Whether event streams in general have a line that begins with this field.
bool IsStandardField(std::string_view field) {
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

bool SseFramer::MayBeginLine(std::string_view part) const {
  const std::size_t colon = part.find(':');
  if (colon != std::string_view::npos) {
    const std::string_view field = part.substr(0, colon);
    return IsStandardField(field) || field == version_field_;
  }
  if (part.ends_with('\r')) {
    part.remove_suffix(1);
  }
  return version_field_.starts_with(part) ||
         std::any_of(kFields.begin(), kFields.end(),
                     [&](std::string_view it) { return it.starts_with(part); });
}

void SseFramer::TakeLine(std::string_view line) {
  event_.size += line.size() + 1;
  examined_bytes_ += line.size();
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (!event_.id) {
    event_.id = ParseEventId(line);
  }
  const bool is_version = IsVersionLine(line);
  event_.has_foreign_line |=
      !is_version && !IsStandardField(line.substr(0, line.find(':')));
  event_.has_content |= !is_version && !line.empty() && !line.starts_with(':');
}

Result<std::string> SseFramer::Feed(std::string_view bytes) {
  const std::optional<std::uint64_t> returned_id = last_event_id_;
  std::size_t searched = pending_.size();
  pending_ += bytes;
  examined_bytes_ += pending_.size() - searched;
  std::string whole;
  std::size_t start = 0;
  std::size_t end = 0;
  while ((end = pending_.find('\n', searched)) != std::string::npos) {
    searched = end + 1;
    const std::size_t line_start = start + event_.size;
    const std::string_view line =
        std::string_view(pending_).substr(line_start, end - line_start);
    // A blank line ends an event that has another line before it.
    const bool is_end = event_.size > 0 && (line.empty() || line == "\r");
    TakeLine(line);
    if (!is_end) {
      continue;
    }
    const std::size_t size = event_.size;
    const Result<EventAction> action = EndEvent();
    if (!action) {
      // The events before it are not returned either.
      last_event_id_ = returned_id;
      return tl::unexpected(action.error());
    }
    if (*action == EventAction::kPass) {
      whole.append(pending_, start, size);
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
  const std::string_view part = std::string_view(pending_).substr(event_.size);
  if (whole.empty() && (event_.has_foreign_line || !MayBeginLine(part))) {
    return MakeError(ErrorCode::kProtocol, kForeignBytes);
  }
  return whole;
}

void SseFramer::StartAttempt() {
  pending_.clear();
  event_ = {};
  has_expected_id_ = last_event_id_.has_value();
}

Result<SseFramer::EventAction> SseFramer::EndEvent() {
  const EventFacts event = std::exchange(event_, {});
  if (event.has_foreign_line) {
    return MakeError(ErrorCode::kProtocol, kForeignBytes);
  }
  if (!event.id) {
    has_unnumbered_event_ = has_unnumbered_event_ || event.has_content;
    return EventAction::kPass;
  }
  if (has_expected_id_ && *event.id <= *last_event_id_) {
    return EventAction::kDrop;
  }
  if (has_expected_id_ && *event.id != *last_event_id_ + 1) {
    return MakeError(ErrorCode::kProtocol, "the stream skips an event");
  }
  last_event_id_ = event.id;
  has_expected_id_ = true;
  return EventAction::kPass;
}

}  // namespace kingcupdrift
