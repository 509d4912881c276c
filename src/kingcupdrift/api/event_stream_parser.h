#ifndef KINGCUPDRIFT_API_EVENT_STREAM_PARSER_H_
#define KINGCUPDRIFT_API_EVENT_STREAM_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// One server-sent event.
struct ServerSentEvent {
  std::string id;
  /// Value of the field "event".
  std::string name;
  std::string data;
};

/// Splits a byte stream, fed in pieces of any size, into server-sent events.
/// Drops events without data. An ID does not carry over to later events.
class EventStreamParser {
 public:
  /// Returns the events that `bytes` completes. Errors: kProtocol if, after all
  /// of `bytes`, the data and the last line of the unfinished event are longer
  /// than kMaxEventBytes together; the events that `bytes` completes are then
  /// lost, and the parser must not be used again. An event that ends within one
  /// call is not limited.
  Result<std::vector<ServerSentEvent>> Feed(std::string_view bytes);

  static constexpr std::size_t kMaxEventBytes = 1'000'000;

 private:
  void TakeLine(std::string_view line, std::vector<ServerSentEvent>& events);

  std::string pending_;
  ServerSentEvent event_;
  bool has_data_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_EVENT_STREAM_PARSER_H_
