#include "kingcupdrift/idempotency/internal/shard_state.h"

#include <chrono>
#include <utility>
#include <vector>

#include "journal_shard_generated.h"

namespace kingcupdrift {
namespace {

using std::chrono::duration_cast;
using std::chrono::seconds;

// Upper bound for the vtable, offsets, padding and fixed fields of a record
// without a result.
constexpr std::size_t kEntryBytes = 96;
// Upper bound for the length fields, terminators and padding of a result.
constexpr std::size_t kResultBytes = 32;

std::uint32_t ToSeconds(WallTime time) {
  const auto count = duration_cast<seconds>(time.time_since_epoch()).count();
  return static_cast<std::uint32_t>(count);
}

flatbuffers::Offset<wire::Entry> EncodeEntry(
    flatbuffers::FlatBufferBuilder& builder,
    const Digest128& key,
    const ShardEntry& entry) {
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> body;
  flatbuffers::Offset<flatbuffers::String> content_type;
  if (entry.result.body) {
    const std::string& text = *entry.result.body;
    body = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    content_type = builder.CreateString(entry.result.content_type);
  }
  const wire::Digest128 wire_key(key.high, key.low);
  const wire::Digest128 attempt(entry.attempt.high, entry.attempt.low);
  return wire::CreateEntry(
      builder, &wire_key, entry.fingerprint, &attempt,
      static_cast<wire::EntryState>(entry.state), ToSeconds(entry.run_until),
      static_cast<std::uint16_t>(entry.result.status), body, content_type);
}

ShardEntry DecodeEntry(const wire::Entry& from) {
  ShardEntry entry;
  entry.fingerprint = from.fingerprint();
  entry.attempt = Digest128{from.attempt()->high(), from.attempt()->low()};
  entry.state = static_cast<EntryState>(from.state());
  entry.run_until = WallTime(seconds(from.run_until_s()));
  entry.result.status = from.status();
  if (from.body() != nullptr) {
    const auto* data = reinterpret_cast<const char*>(from.body()->data());
    entry.result.body = std::string(data, from.body()->size());
  }
  if (from.content_type() != nullptr) {
    entry.result.content_type = from.content_type()->str();
  }
  return entry;
}

bool IsSound(const wire::Entry& entry) {
  return entry.key() != nullptr && entry.attempt() != nullptr &&
         entry.state() >= wire::EntryState::MIN &&
         entry.state() <= wire::EntryState::MAX;
}

}  // namespace

Digest128 DigestOf(std::string_view text) {
  return Digest128{FastHash(text, 1), FastHash(text, 2)};
}

std::size_t EncodedSize(const ShardEntry& entry) {
  if (!entry.result.body) {
    return kEntryBytes;
  }
  return kEntryBytes + kResultBytes + entry.result.body->size() +
         entry.result.content_type.size();
}

std::size_t BytesWith(const ShardState& state,
                      std::size_t bytes,
                      const Digest128& key,
                      const ShardEntry& entry) {
  const auto it = state.entries.find(key);
  const std::size_t replaced =
      it == state.entries.end() ? 0 : EncodedSize(it->second);
  return bytes - replaced + EncodedSize(entry);
}

void ApplyChanges(const ShardChanges& changes, ShardState& state) {
  for (const auto& [key, entry] : changes) {
    state.bytes = BytesWith(state, state.bytes, key, entry);
    state.entries[key] = entry;
  }
}

std::string EncodeShard(const ShardState& state,
                        const ShardChanges& changes,
                        std::uint64_t fence) {
  flatbuffers::FlatBufferBuilder builder(state.bytes + kEntryBytes);
  std::vector<flatbuffers::Offset<wire::Entry>> entries;
  entries.reserve(state.entries.size() + changes.size());
  for (const auto& [key, entry] : state.entries) {
    if (!changes.contains(key)) {
      entries.push_back(EncodeEntry(builder, key, entry));
    }
  }
  for (const auto& [key, entry] : changes) {
    entries.push_back(EncodeEntry(builder, key, entry));
  }
  const auto vector = builder.CreateVector(entries);
  wire::FinishShardBuffer(builder, wire::CreateShard(builder, fence, vector));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<ShardState> DecodeShard(const std::string& value) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(value.data());
  flatbuffers::Verifier verifier(data, value.size());
  if (!wire::VerifyShardBuffer(verifier)) {
    return MakeError(ErrorCode::kProtocol, "a journal shard is damaged");
  }
  const wire::Shard* shard = wire::GetShard(data);
  ShardState state;
  state.fence = shard->fence();
  if (shard->entries() == nullptr) {
    return state;
  }
  for (const wire::Entry* from : *shard->entries()) {
    if (!IsSound(*from)) {
      return MakeError(ErrorCode::kProtocol, "a journal record is damaged");
    }
    ShardEntry entry = DecodeEntry(*from);
    state.bytes += EncodedSize(entry);
    const Digest128 key{from->key()->high(), from->key()->low()};
    state.entries.emplace(key, std::move(entry));
  }
  return state;
}

}  // namespace kingcupdrift
