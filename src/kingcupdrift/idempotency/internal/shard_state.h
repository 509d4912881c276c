#ifndef KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_STATE_H_
#define KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_STATE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/idempotency/journal_types.h"

namespace kingcupdrift {

/// 128 bits that stand for a key or an attempt inside a shard.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Digest128&, const Digest128&) = default;
};

Digest128 DigestOf(std::string_view text);

enum class EntryState { kIntent, kTombstone, kCompleted, kUnknown };

/// What a shard knows of one key.
struct ShardEntry {
  std::uint64_t fingerprint = 0;
  Digest128 attempt;
  EntryState state = EntryState::kIntent;
  WallTime run_until{};
  /// With kCompleted.
  StoredResult result;
};

/// Decoded value of one shard.
struct ShardState {
  std::uint64_t fence = 0;
  std::map<Digest128, ShardEntry> entries;
  /// Upper bound of the encoded size.
  std::size_t bytes = 0;
};

/// Upper bound of what an entry adds to the encoded size.
std::size_t EncodedSize(const ShardEntry& entry);

/// Entries that are to replace or join those of a shard.
using ShardChanges = std::map<Digest128, ShardEntry>;

/// `bytes` of the state once `entry` stands under `key`.
std::size_t BytesWith(const ShardState& state,
                      std::size_t bytes,
                      const Digest128& key,
                      const ShardEntry& entry);
void ApplyChanges(const ShardChanges& changes, ShardState& state);

/// Value of the shard as it is after `changes`.
std::string EncodeShard(const ShardState& state,
                        const ShardChanges& changes,
                        std::uint64_t fence);
/// kProtocol if `value` is not a shard.
Result<ShardState> DecodeShard(const std::string& value);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_STATE_H_
