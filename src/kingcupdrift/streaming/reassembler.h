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
  /// Most chunks that may wait for a missing earlier chunk.
  std::size_t max_buffered_chunks = 256;
  ByteCount max_buffered_bytes{1 << 20};
};

enum class AcceptStatus {
  /// The chunk was accepted; `ready` holds the chunks that are now in order, if
  /// any.
  kAccepted,
  /// All tokens of the chunk were delivered already, or a buffered chunk with
  /// the same offset covers it. A chunk covered only by a buffered chunk with
  /// another offset is kAccepted, and counts against the limits.
  kDuplicate,
  /// The chunk belongs to an attempt that is not the current one.
  kOtherAttempt,
  /// This or a buffered chunk begins before the delivered offset and ends after
  /// it. Its text cannot be cut, since token boundaries in it are unknown:
  /// deliver `ready`, then resume from `emitted_tokens()`.
  kPartialOverlap,
  /// A buffer limit would be exceeded and the chunk was dropped: resume from
  /// `emitted_tokens()`.
  kOverflow,
  /// The chunk has no tokens, or its end overflows 64 bits.
  kMalformed,
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kAccepted;
  /// Chunks to deliver now, in order, without gap or overlap.
  std::vector<AnswerChunk> ready;
};

/// Reorders a stream's chunks and drops duplicates. Each token offset is
/// delivered exactly once, in order, and only from the current attempt.
class Reassembler {
 public:
  explicit Reassembler(ReassemblerLimits limits = {}) : limits_(limits) {}

  /// Makes `attempt` the current one. It continues at `emitted_tokens()`;
  /// buffered chunks of earlier attempts are dropped.
  void StartAttempt(AttemptId attempt);
  /// Makes `attempt` the current one and starts at `offset`. The client
  /// received the tokens before it elsewhere; their text is not known here, and
  /// `emitted_text()` starts empty.
  void StartAttemptAt(AttemptId attempt, std::uint64_t offset);
  /// Drops buffered chunks; call before resuming the same attempt.
  void DropBuffered();

  AcceptResult Accept(EngineChunk chunk);

  const AttemptId& attempt() const { return attempt_; }
  /// Number of tokens delivered so far, which is the next offset.
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
