#include "kingcupdrift/routing/internal/prefix_index.h"

#include <doctest/doctest.h>

#include <numeric>
#include <vector>

namespace kingcupdrift {
namespace {

std::vector<std::uint64_t> MakeBlocks(std::uint64_t first, std::size_t n) {
  std::vector<std::uint64_t> blocks(n);
  std::iota(blocks.begin(), blocks.end(), first);
  return blocks;
}

CacheEventBatch MakeCachedBatch(const std::vector<std::uint64_t>& blocks,
                                std::uint64_t first_sequence) {
  CacheEventBatch batch;
  std::uint64_t sequence = first_sequence;
  for (const std::uint64_t block : blocks) {
    batch.events.push_back({sequence++, true, block});
  }
  batch.last_sequence = sequence - 1;
  return batch;
}

TEST_CASE(
    "The index finds the longest cached prefix of each engine "
    "[routing]") {
  PrefixIndex index;
  index.Apply(3, MakeCachedBatch(MakeBlocks(1, 10), 1));
  index.Apply(5, MakeCachedBatch(MakeBlocks(1, 4), 1));
  const auto depths = index.Lookup(MakeBlocks(1, 20));
  CHECK(depths[3] == 10);
  CHECK(depths[5] == 4);
  CHECK(depths[0] == 0);
}

TEST_CASE(
    "A block whose cache event was lost ends the known prefix [routing]") {
  PrefixIndex index;
  CacheEventBatch batch = MakeCachedBatch(MakeBlocks(1, 10), 1);
  batch.events.erase(batch.events.begin() + 4);
  batch.has_gap = true;
  index.Apply(0, batch);
  CHECK(index.Lookup(MakeBlocks(1, 10))[0] == 4);
}

TEST_CASE(
    "Evicted blocks and blocks of restarted engines are removed [routing]") {
  PrefixIndex index;
  index.Apply(0, MakeCachedBatch(MakeBlocks(1, 10), 1));
  CacheEventBatch evicted;
  evicted.events = {{11, false, 3}};
  evicted.last_sequence = 11;
  index.Apply(0, evicted);
  CHECK(index.Lookup(MakeBlocks(1, 10))[0] == 2);
  index.Apply(0, MakeCachedBatch({100}, 1));
  CHECK(index.Lookup(MakeBlocks(1, 10))[0] == 0);
  CHECK(index.Lookup({100})[0] == 1);
}

TEST_CASE(
    "A prompt of a million tokens is looked up in few probes "
    "[routing]") {
  PrefixIndex index;
  const auto blocks = MakeBlocks(1, 4000);
  index.AddPrompt(1, blocks);
  CHECK(index.MemoryBytes() < std::size_t{200} * 40 + sizeof(PrefixIndex));
  CHECK(index.Lookup(blocks)[1] > 3700);
}

TEST_CASE(
    "The index stays within its size limit and drops the oldest blocks "
    "[routing]") {
  PrefixIndex index;
  index.Apply(0, MakeCachedBatch(MakeBlocks(1, 10), 1));
  for (std::uint64_t round = 0; round < 4; ++round) {
    index.Apply(1, MakeCachedBatch(MakeBlocks(1'000'000 * (round + 1),
                                              PrefixIndex::kMaxDigests / 2),
                                   1 + round * PrefixIndex::kMaxDigests));
  }
  CHECK(index.MemoryBytes() <=
        sizeof(PrefixIndex) + PrefixIndex::kMaxDigests * 40);
  CHECK(index.Lookup(MakeBlocks(1, 10))[0] == 0);
  CHECK(index.Lookup(MakeBlocks(4'000'000, 10))[1] == 10);
}

}  // namespace
}  // namespace kingcupdrift
