#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "kingcupdrift/streaming/streaming.h"
#include "tests/fakes/answer_text.h"

namespace kingcupdrift {
namespace {

const AttemptId kFirst("first");
const AttemptId kSecond("second");

EngineChunk Chunk(const AttemptId& attempt,
                  std::uint64_t offset,
                  std::uint32_t count) {
  return EngineChunk{attempt, offset, count,
                     fakes::AnswerText(7, offset, offset + count)};
}

TEST_CASE(
    "Reordered and duplicate chunks are delivered once and in order "
    "[streaming]") {
  Reassembler answer;
  answer.StartAttempt(kFirst);
  CHECK(answer.Accept(Chunk(kFirst, 2, 2)).ready.empty());
  CHECK(answer.Accept(Chunk(kFirst, 2, 2)).status == AcceptStatus::kDuplicate);
  CHECK(answer.Accept(Chunk(kFirst, 0, 2)).ready.size() == 2);
  CHECK(answer.Accept(Chunk(kFirst, 0, 2)).status == AcceptStatus::kDuplicate);
  CHECK(answer.Accept(Chunk(kFirst, 1, 3)).status == AcceptStatus::kDuplicate);
  CHECK(answer.emitted_tokens() == 4);
  CHECK(answer.emitted_text() == fakes::AnswerText(7, 0, 4));
}

TEST_CASE(
    "Chunks of an earlier attempt are dropped, including buffered ones "
    "[streaming]") {
  Reassembler answer;
  answer.StartAttempt(kFirst);
  CHECK(answer.Accept(Chunk(kFirst, 0, 2)).ready.size() == 1);
  CHECK(answer.Accept(Chunk(kFirst, 4, 2)).ready.empty());
  answer.StartAttempt(kSecond);
  CHECK(answer.Accept(Chunk(kFirst, 2, 2)).status ==
        AcceptStatus::kOtherAttempt);
  CHECK(answer.Accept(Chunk(kSecond, 2, 2)).ready.size() == 1);
  CHECK(answer.emitted_tokens() == 4);
}

TEST_CASE("Partly delivered chunks require a resumption [streaming]") {
  Reassembler answer;
  answer.StartAttempt(kFirst);
  CHECK(answer.Accept(Chunk(kFirst, 3, 3)).ready.empty());
  const AcceptResult result = answer.Accept(Chunk(kFirst, 0, 4));
  CHECK(result.status == AcceptStatus::kPartialOverlap);
  CHECK(result.ready.size() == 1);
  CHECK(answer.emitted_tokens() == 4);
  CHECK(answer.Accept(Chunk(kFirst, 2, 5)).status ==
        AcceptStatus::kPartialOverlap);
  CHECK(answer.emitted_tokens() == 4);
}

TEST_CASE("The buffer limits the number of chunks and bytes [streaming]") {
  ReassemblerLimits limits;
  limits.max_buffered_chunks = 2;
  Reassembler answer(limits);
  answer.StartAttempt(kFirst);
  CHECK(answer.Accept(Chunk(kFirst, 10, 1)).status == AcceptStatus::kAccepted);
  CHECK(answer.Accept(Chunk(kFirst, 12, 1)).status == AcceptStatus::kAccepted);
  CHECK(answer.Accept(Chunk(kFirst, 14, 1)).status == AcceptStatus::kOverflow);
  limits.max_buffered_chunks = 100;
  limits.max_buffered_bytes = ByteCount(3);
  Reassembler small(limits);
  small.StartAttempt(kFirst);
  CHECK(small.Accept(EngineChunk{kFirst, 5, 1, "four"}).status ==
        AcceptStatus::kOverflow);
  CHECK(small.buffered_bytes() == ByteCount(0));
}

TEST_CASE("Malformed chunks change nothing [streaming]") {
  Reassembler answer;
  answer.StartAttempt(kFirst);
  CHECK(answer.Accept(EngineChunk{kFirst, 0, 0, "x"}).status ==
        AcceptStatus::kMalformed);
  CHECK(answer.Accept(EngineChunk{kFirst, ~std::uint64_t{0}, 2, "x"}).status ==
        AcceptStatus::kMalformed);
  CHECK(answer.emitted_tokens() == 0);
}

/// Chunks of a whole answer with varying lengths and some duplicates, shuffled
/// within a window.
std::vector<EngineChunk> Disordered(Random& random, std::uint64_t total) {
  std::vector<EngineChunk> chunks;
  std::uint64_t offset = 0;
  while (offset < total) {
    const std::uint64_t left = total - offset;
    const auto count =
        static_cast<std::uint32_t>(std::min(left, 1 + random.NextBelow(5)));
    chunks.push_back(Chunk(kFirst, offset, count));
    if (random.NextBelow(4) == 0) {
      chunks.push_back(chunks.back());
    }
    offset += count;
  }
  for (std::size_t n = 0; n < chunks.size(); ++n) {
    const std::size_t other =
        n + random.NextBelow(std::min<std::size_t>(8, chunks.size() - n));
    std::swap(chunks[n], chunks[other]);
  }
  return chunks;
}

TEST_CASE(
    "Randomly reordered and duplicate chunks give the whole answer "
    "[streaming]") {
  constexpr std::uint64_t kSeeds = 500;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    const std::uint64_t total = 1 + random.NextBelow(200);
    Reassembler answer;
    answer.StartAttempt(kFirst);
    std::uint64_t next = 0;
    for (EngineChunk& chunk : Disordered(random, total)) {
      for (const AnswerChunk& ready : answer.Accept(std::move(chunk)).ready) {
        CHECK(ready.offset == next);
        next += ready.token_count;
      }
    }
    CHECK(next == total);
    CHECK(answer.emitted_text() == fakes::AnswerText(7, 0, total));
    CHECK(answer.buffered_chunks() == 0);
    CHECK(answer.buffered_bytes() == ByteCount(0));
  }
}

}  // namespace
}  // namespace kingcupdrift
