#ifndef KINGCUPDRIFT_API_ANSWER_FORMAT_H_
#define KINGCUPDRIFT_API_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Writes one completion's answer in the shapes that clients of
/// /v1/completions and /v1/chat/completions read. Each event carries the number
/// of tokens delivered with it included as its identifier.
class AnswerFormatter {
 public:
  /// `created` is the answer's time stamp.
  AnswerFormatter(AnswerStart start, WallTime created);

  /// First event of a chat stream, which names the role; empty for text.
  std::string FormatStreamStart() const;
  /// One event.
  std::string FormatStreamChunk(const AnswerChunk& chunk) const;
  /// The last events: finish reason with usage, then "[DONE]".
  std::string FormatStreamEnd(const AnswerEnd& end) const;
  /// An answer that is not streamed.
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
