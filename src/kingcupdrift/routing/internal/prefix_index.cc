#include "kingcupdrift/routing/internal/prefix_index.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace kingcupdrift {
namespace {

/// Blocks of a prompt that are probed among the block positions from 2^k to
/// 2^(k+1), for each k.
constexpr std::size_t kProbesPerOctave = 16;
/// Bytes of a hash table node (key, mask, link and cached hash) and its bucket.
constexpr std::size_t kBytesPerDigest = 40;

std::size_t NextProbe(std::size_t i) {
  return i + std::max<std::size_t>(1, std::bit_floor(i) / kProbesPerOctave);
}

}  // namespace

void PrefixIndex::Apply(std::size_t slot, const CacheEventBatch& batch) {
  if (batch.last_sequence < last_sequence_[slot]) {
    Clear(slot);
  }
  const Mask bit = Mask{1} << slot;
  for (const CacheEvent& event : batch.events) {
    if (event.is_cached) {
      Set(event.block_digest, bit);
    } else {
      Unset(event.block_digest, bit);
    }
  }
  last_sequence_[slot] = batch.last_sequence;
}

void PrefixIndex::AddPrompt(std::size_t slot,
                            const std::vector<std::uint64_t>& digests) {
  const Mask bit = Mask{1} << slot;
  for (std::size_t i = 0; i < digests.size(); i = NextProbe(i)) {
    Set(digests[i], bit);
  }
}

void PrefixIndex::Clear(std::size_t slot) {
  const Mask keep = ~(Mask{1} << slot);
  for (Generation* generation : {&current_, &previous_}) {
    for (auto& [digest, mask] : *generation) {
      mask &= keep;
    }
  }
  last_sequence_[slot] = 0;
}

PrefixIndex::Depths PrefixIndex::Lookup(
    const std::vector<std::uint64_t>& digests) const {
  Depths depths{};
  Mask running = ~Mask{0};
  for (std::size_t i = 0; i < digests.size(); i = NextProbe(i)) {
    running &= Find(digests[i]);
    if (running == 0) {
      break;
    }
    for (Mask rest = running; rest != 0; rest &= rest - 1) {
      depths[std::countr_zero(rest)] = static_cast<std::uint32_t>(i + 1);
    }
  }
  return depths;
}

PrefixIndex::Mask PrefixIndex::Find(std::uint64_t digest) const {
  if (const auto it = current_.find(digest); it != current_.end()) {
    return it->second;
  }
  const auto it = previous_.find(digest);
  return it == previous_.end() ? 0 : it->second;
}

void PrefixIndex::Set(std::uint64_t digest, Mask bit) {
  const Mask mask = Find(digest) | bit;
  if (current_.size() >= kMaxDigests / 2 && !current_.contains(digest)) {
    previous_ = std::exchange(current_, {});
  }
  current_[digest] = mask;
}

void PrefixIndex::Unset(std::uint64_t digest, Mask bit) {
  for (Generation* generation : {&current_, &previous_}) {
    const auto it = generation->find(digest);
    if (it == generation->end()) {
      continue;
    }
    it->second &= ~bit;
    if (it->second == 0) {
      generation->erase(it);
    }
  }
}

std::size_t PrefixIndex::MemoryBytes() const {
  return sizeof(*this) + (current_.size() + previous_.size()) * kBytesPerDigest;
}

}  // namespace kingcupdrift
