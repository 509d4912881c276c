#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Index of the prompt blocks that each engine of a subset probably has cached.
/// It is only a hint, since cache events come late and have gaps. Engines are
/// identified by slot, their index in the `ServicePool`, below `kMaxSlots`. The
/// index holds at most `kMaxDigests` digests and drops the least recently added
/// first; lookups don't refresh a digest.
class PrefixIndex {
 public:
  static constexpr std::size_t kMaxSlots = 64;
  static constexpr std::size_t kMaxDigests = 1 << 18;

  /// Number of leading blocks of a prompt that each slot has cached.
  using Depths = std::array<std::uint32_t, kMaxSlots>;

  /// Applies a batch of cache events of one engine. If its sequence is lower
  /// than before, the engine has restarted, and its earlier blocks are cleared.
  void Apply(std::size_t slot, const CacheEventBatch& batch);
  /// Records that a slot has prefilled a prompt, before its cache events
  /// arrive.
  void AddPrompt(std::size_t slot, const std::vector<std::uint64_t>& digests);
  void Clear(std::size_t slot);

  /// Returns the cached depths of a prompt. Probes a limited number of its
  /// blocks, more densely near the start.
  Depths Lookup(const std::vector<std::uint64_t>& digests) const;

  std::size_t MemoryBytes() const;

 private:
  using Mask = std::uint64_t;
  using Generation = std::unordered_map<std::uint64_t, Mask>;

  Mask Find(std::uint64_t digest) const;
  void Set(std::uint64_t digest, Mask bit);
  void Unset(std::uint64_t digest, Mask bit);

  // Two generations approximate the order of the last addition: a full
  // `current_` replaces `previous_`, whose digests are dropped.
  Generation current_;
  Generation previous_;
  std::array<std::uint64_t, kMaxSlots> last_sequence_{};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_
