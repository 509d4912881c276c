#include "kingcupdrift/api/event_stream_parser.h"

#include <utility>

namespace kingcupdrift {

void EventStreamParser::TakeLine(std::string_view line,
                                 std::vector<ServerSentEvent>& events) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::move(event_));
    }
    event_ = {};
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "data") {
    event_.data += has_data_ ? "\n" : "";
    event_.data += value;
    has_data_ = true;
  } else if (field == "id") {
    event_.id = value;
  } else if (field == "event") {
    event_.name = value;
  }
}

Result<std::vector<ServerSentEvent>> EventStreamParser::Feed(
    std::string_view bytes) {
  std::vector<ServerSentEvent> events;
  std::size_t end = 0;
  while ((end = bytes.find('\n')) != std::string_view::npos) {
    if (pending_.empty()) {
      TakeLine(bytes.substr(0, end), events);
    } else {
      pending_ += bytes.substr(0, end);
      TakeLine(std::exchange(pending_, {}), events);
    }
    bytes.remove_prefix(end + 1);
  }
  pending_ += bytes;
  if (pending_.size() + event_.data.size() > kMaxEventBytes) {
    return MakeError(ErrorCode::kProtocol, "an event is too large");
  }
  return events;
}

}  // namespace kingcupdrift
