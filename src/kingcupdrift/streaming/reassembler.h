#ifndef KINGCUPDRIFT_STREAMING_REASSEMBLER_H_
#define KINGCUPDRIFT_STREAMING_REASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct ReassemblerLimits {
  /// Chunks that arrived ahead of their turn.
  std::size_t max_buffered_chunks = 256;
  ByteCount max_buffered_bytes{1 << 20};
};

enum class AcceptStatus {
  /// Taken; `ready` holds what is now in order, perhaps nothing.
  kAccepted,
  /// Late or doubled: every token was delivered already or is buffered.
  kDuplicate,
  /// From an attempt that is not the current one.
  kOtherAttempt,
  /// This or a buffered chunk begins before the delivered offset and ends after
  /// it. Text has no token boundaries to cut at: deliver `ready`, then resume
  /// from `emitted_tokens()`.
  kPartialOverlap,
  /// Too much is buffered: resume from `emitted_tokens()`.
  kOverflow,
  /// A chunk without tokens, or past the largest offset.
  kMalformed,
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kAccepted;
  /// Chunks to deliver now, in order, without gap or overlap.
  std::vector<AnswerChunk> ready;
};

/// Puts a stream's chunks into order. Each token offset is delivered exactly
/// once, in order, and only from the current attempt.
class Reassembler {
 public:
  explicit Reassembler(ReassemblerLimits limits = {}) : limits_(limits) {}

  /// Makes `attempt` the current one. It goes on at `emitted_tokens()`; what
  /// earlier attempts left in the buffer is dropped.
  void StartAttempt(AttemptId attempt);
  /// Starts at `offset`, which the caller already has; the text before it is
  /// not known here.
  void StartAttemptAt(AttemptId attempt, std::uint64_t offset);
  /// Drops the buffer, before the same attempt is resumed.
  void DropBuffered();

  AcceptResult Accept(EngineChunk chunk);

  const AttemptId& attempt() const { return attempt_; }
  /// Tokens delivered so far: the next offset.
  std::uint64_t emitted_tokens() const { return emitted_tokens_; }
  /// Text delivered since offset 0, or since `StartAttemptAt`.
  const std::string& emitted_text() const { return emitted_text_; }
  /// Offset of the first token of `emitted_text()`.
  std::uint64_t first_token() const { return first_token_; }
  std::size_t buffered_chunks() const { return buffer_.size(); }
  ByteCount buffered_bytes() const { return buffered_bytes_; }

 private:
  AcceptStatus Buffer(EngineChunk chunk);
  void Emit(EngineChunk chunk, std::vector<AnswerChunk>& ready);
  AcceptStatus Drain(std::vector<AnswerChunk>& ready);

  ReassemblerLimits limits_;
  AttemptId attempt_;
  std::uint64_t first_token_ = 0;
  std::uint64_t emitted_tokens_ = 0;
  std::string emitted_text_;
  std::map<std::uint64_t, EngineChunk> buffer_;
  ByteCount buffered_bytes_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STREAMING_REASSEMBLER_H_
