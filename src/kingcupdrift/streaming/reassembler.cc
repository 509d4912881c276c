#include "kingcupdrift/streaming/reassembler.h"

#include <limits>
#include <utility>

namespace kingcupdrift {
namespace {

std::uint64_t EndOf(const EngineChunk& chunk) {
  return chunk.offset + chunk.token_count;
}

bool IsMalformed(const EngineChunk& chunk) {
  const auto largest = std::numeric_limits<std::uint64_t>::max();
  return chunk.token_count == 0 || chunk.offset > largest - chunk.token_count;
}

ByteCount SizeOf(const EngineChunk& chunk) {
  return ByteCount(static_cast<std::int64_t>(chunk.text.size()));
}

}  // namespace

void Reassembler::StartAttempt(AttemptId attempt) {
  attempt_ = std::move(attempt);
  DropBuffered();
}

void Reassembler::StartAttemptAt(AttemptId attempt, std::uint64_t offset) {
  StartAttempt(std::move(attempt));
  first_token_ = offset;
  emitted_tokens_ = offset;
  emitted_text_.clear();
}

void Reassembler::DropBuffered() {
  buffer_.clear();
  buffered_bytes_ = ByteCount(0);
}

AcceptResult Reassembler::Accept(EngineChunk chunk) {
  AcceptResult result;
  if (chunk.attempt != attempt_) {
    result.status = AcceptStatus::kOtherAttempt;
  } else if (IsMalformed(chunk)) {
    result.status = AcceptStatus::kMalformed;
  } else if (EndOf(chunk) <= emitted_tokens_) {
    result.status = AcceptStatus::kDuplicate;
  } else if (chunk.offset < emitted_tokens_) {
    result.status = AcceptStatus::kPartialOverlap;
  } else if (chunk.offset > emitted_tokens_) {
    result.status = Buffer(std::move(chunk));
  } else {
    Emit(std::move(chunk), result.ready);
    result.status = Drain(result.ready);
  }
  return result;
}

AcceptStatus Reassembler::Buffer(EngineChunk chunk) {
  const auto it = buffer_.find(chunk.offset);
  if (it != buffer_.end() && it->second.token_count >= chunk.token_count) {
    return AcceptStatus::kDuplicate;
  }
  if (it != buffer_.end()) {
    buffered_bytes_ -= SizeOf(it->second);
    buffer_.erase(it);
  }
  const ByteCount bytes = buffered_bytes_ + SizeOf(chunk);
  if (buffer_.size() >= limits_.max_buffered_chunks ||
      bytes > limits_.max_buffered_bytes) {
    return AcceptStatus::kOverflow;
  }
  buffered_bytes_ = bytes;
  const std::uint64_t offset = chunk.offset;
  buffer_.emplace(offset, std::move(chunk));
  return AcceptStatus::kAccepted;
}

void Reassembler::Emit(EngineChunk chunk, std::vector<AnswerChunk>& ready) {
  emitted_tokens_ = EndOf(chunk);
  emitted_text_ += chunk.text;
  ready.push_back(
      AnswerChunk{chunk.offset, chunk.token_count, std::move(chunk.text)});
}

AcceptStatus Reassembler::Drain(std::vector<AnswerChunk>& ready) {
  AcceptStatus status = AcceptStatus::kAccepted;
  while (!buffer_.empty() && buffer_.begin()->first <= emitted_tokens_) {
    EngineChunk chunk = std::move(buffer_.begin()->second);
    buffer_.erase(buffer_.begin());
    buffered_bytes_ -= SizeOf(chunk);
    if (chunk.offset == emitted_tokens_) {
      Emit(std::move(chunk), ready);
    } else if (EndOf(chunk) > emitted_tokens_) {
      status = AcceptStatus::kPartialOverlap;
    }
  }
  return status;
}

}  // namespace kingcupdrift
