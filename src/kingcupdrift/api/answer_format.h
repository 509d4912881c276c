#ifndef KINGCUPDRIFT_API_ANSWER_FORMAT_H_
#define KINGCUPDRIFT_API_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Formats the answer to one completion request in the JSON of /v1/completions
/// or /v1/chat/completions. The ID of a streamed event is the number of answer
/// tokens sent so far, including that event's; "[DONE]" has no ID.
class AnswerFormatter {
 public:
  /// `created` is written into the answer as "created", in seconds.
  AnswerFormatter(AnswerStart start, WallTime created);

  /// First event of a chat stream, which states the role; empty for a text
  /// completion.
  std::string FormatStreamStart() const;
  /// The event that carries the text of `chunk`.
  std::string FormatStreamChunk(const AnswerChunk& chunk) const;
  /// The last two events: finish reason and token usage, then "[DONE]".
  std::string FormatStreamEnd(const AnswerEnd& end) const;
  /// The body of a whole answer, for a request without streaming.
  std::string FormatNonStreamedAnswer(std::string_view text,
                                      const AnswerEnd& end) const;

  const AnswerStart& start() const { return start_; }

 private:
  AnswerStart start_;
  std::int64_t created_seconds_;
  std::string event_prefix_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_ANSWER_FORMAT_H_
