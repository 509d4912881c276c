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
  std::string name;
  std::string data;
};

/// Splits a byte stream into server-sent events, wherever it is cut.
class EventStreamParser {
 public:
  /// Events completed by `bytes`. kProtocol when one event grows beyond
  /// kMaxEventBytes; the parser is then of no more use.
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
