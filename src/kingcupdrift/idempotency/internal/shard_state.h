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

/// 128-bit hash that identifies a key or an attempt inside a shard.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Digest128&, const Digest128&) = default;
};

/// Two FastHashes of `text` with different seeds; not cryptographic.
Digest128 DigestOf(std::string_view text);

enum class EntryState {
  /// The attempt may be dispatched, or may have been.
  kIntent,
  /// The attempt was not dispatched and never will be. The key is free for
  /// requests with the same fingerprint.
  kTombstone,
  /// The attempt finished; its result is stored.
  kCompleted,
  /// The attempt was dispatched and its effect is not known; a late result may
  /// replace this state.
  kUnknown
};

/// A shard's record of one key.
struct ShardEntry {
  std::uint64_t fingerprint = 0;
  Digest128 attempt;
  EntryState state = EntryState::kIntent;
  /// End of the attempt's time limit; cut to whole seconds when stored.
  WallTime run_until{};
  /// Set with kCompleted.
  StoredResult result;
};

/// Decoded value of one shard.
struct ShardState {
  /// Counter raised by a write that changes no record, so that the shard's
  /// stored bytes differ. The code never reads its meaning.
  std::uint64_t fence = 0;
  /// Records by key.
  std::map<Digest128, ShardEntry> entries;
  /// Sum of `EncodedSize` of the records; the shard's fixed part is not
  /// counted, so it is zero for an empty shard.
  std::size_t bytes = 0;
};

/// Upper bound of the bytes that a record adds to a shard's encoded size.
std::size_t EncodedSize(const ShardEntry& entry);

/// Records to add to a shard, or to replace in it, by key.
using ShardChanges = std::map<Digest128, ShardEntry>;

/// The planned size `bytes`, minus the record that `state` holds under `key`,
/// plus `entry`.
std::size_t BytesWith(const ShardState& state,
                      std::size_t bytes,
                      const Digest128& key,
                      const ShardEntry& entry);
void ApplyChanges(const ShardChanges& changes, ShardState& state);

/// Encodes the shard's value after `changes`, with the counter `fence`.
std::string EncodeShard(const ShardState& state,
                        const ShardChanges& changes,
                        std::uint64_t fence);
/// Returns kProtocol if `value` is not a valid shard.
Result<ShardState> DecodeShard(const std::string& value);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_IDEMPOTENCY_INTERNAL_SHARD_STATE_H_
