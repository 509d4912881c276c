#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Which engines of a subset are thought to have which prompt blocks cached.
/// A hint: events come late and have gaps. Engines are named by slot, below
/// `kMaxSlots`. Holds at most `kMaxDigests` digests; those not seen for longest
/// go first.
class PrefixIndex {
 public:
  static constexpr std::size_t kMaxSlots = 64;
  static constexpr std::size_t kMaxDigests = 1 << 18;

  /// Leading blocks of a prompt that each slot has cached.
  using Depths = std::array<std::uint32_t, kMaxSlots>;

  /// Applies a batch of one engine. A sequence that runs backwards means a
  /// restarted engine, whose cache is taken as empty.
  void Apply(std::size_t slot, const CacheEventBatch& batch);
  /// Records that a slot has processed a prompt, before its events arrive.
  void AddPrompt(std::size_t slot, const std::vector<std::uint64_t>& digests);
  void Clear(std::size_t slot);

  /// Looks at a bounded number of a prompt's blocks, denser near its start.
  Depths Lookup(const std::vector<std::uint64_t>& digests) const;

  std::size_t MemoryBytes() const;

 private:
  using Mask = std::uint64_t;
  using Generation = std::unordered_map<std::uint64_t, Mask>;

  Mask Find(std::uint64_t digest) const;
  void Set(std::uint64_t digest, Mask bit);
  void Unset(std::uint64_t digest, Mask bit);

  // Two generations approximate least-recently-seen order: a full `current_`
  // becomes `previous_`, and what was there is dropped.
  Generation current_;
  Generation previous_;
  std::array<std::uint64_t, kMaxSlots> last_sequence_{};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_PREFIX_INDEX_H_
