#include "tests/idempotency/journal_harness.h"

#include <doctest/doctest.h>

#include <chrono>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(30);

}  // namespace

JournalHarness::JournalHarness(std::size_t entries,
                               JournalOptions options,
                               std::uint64_t seed)
    : random(seed), store(clock), options_(options) {
  for (std::size_t n = 0; n < entries; ++n) {
    entries_.push_back(MakeNode());
  }
}

JournalHarness::Node JournalHarness::MakeNode() {
  Node node;
  node.store = std::make_unique<fakes::FakeStore>(fakes::FakeStoreOptions{},
                                                  store, clock);
  node.journal =
      std::make_unique<Journal>(clock, random, *node.store, options_);
  return node;
}

IdempotencyKey JournalHarness::Key(const std::string& text, Duration age) {
  const WallTime created_at = clock.WallNow() - age;
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      created_at.time_since_epoch());
  const auto key =
      ParseIdempotencyKey(WorkspaceId("raquira"), ServiceId("portal-socios"),
                          fmt::format("{}-{}", seconds.count(), text));
  REQUIRE(key);
  return *key;
}

BeginRequest JournalHarness::Request(const IdempotencyKey& key,
                                     const std::string& attempt) {
  BeginRequest request;
  request.key = key;
  request.fingerprint = 1;
  request.attempt = AttemptId(attempt);
  request.run_until = clock.WallNow() + std::chrono::seconds(60);
  request.deadline = clock.Now() + std::chrono::seconds(60);
  return request;
}

std::optional<BeginResult> JournalHarness::Begin(std::size_t entry,
                                                 BeginRequest request) {
  auto answer = std::make_shared<std::optional<BeginResult>>();
  journal(entry).Begin(std::move(request), [answer](BeginResult result) {
    CHECK(!answer->has_value());
    *answer = std::move(result);
  });
  clock.AdvanceUntil([&] { return answer->has_value(); }, kCallTimeout);
  return *answer;
}

std::optional<BeginResult> JournalHarness::Begin(std::size_t entry,
                                                 const IdempotencyKey& key,
                                                 const std::string& attempt) {
  return Begin(entry, Request(key, attempt));
}

bool JournalHarness::Abandon(std::size_t entry,
                             const IdempotencyKey& key,
                             const std::string& attempt) {
  auto answer = std::make_shared<std::optional<bool>>();
  journal(entry).Abandon(
      key, AttemptId(attempt), clock.Now() + std::chrono::seconds(5),
      [answer](const Result<void>& done) { *answer = done.has_value(); });
  clock.AdvanceUntil([&] { return answer->has_value(); }, kCallTimeout);
  return answer->value_or(false);
}

bool JournalHarness::Complete(std::size_t entry,
                              const IdempotencyKey& key,
                              const std::string& attempt,
                              const std::string& body) {
  auto answer = std::make_shared<std::optional<bool>>();
  journal(entry).Complete(
      key, AttemptId(attempt), StoredResult{201, body, "text/plain"},
      [answer](const Result<void>& done) { *answer = done.has_value(); });
  clock.AdvanceUntil([&] { return answer->has_value(); }, kCallTimeout);
  return answer->value_or(false);
}

void JournalHarness::Crash(std::size_t entry) {
  entries_[entry] = MakeNode();
}

std::optional<ShardEntry> JournalHarness::Stored(const IdempotencyKey& key) {
  for (const StoreEntry& row : store.List("/kingcupdrift/journal/")) {
    const Result<ShardState> state = DecodeShard(row.value.value);
    REQUIRE(state);
    const auto it = state->entries.find(DigestOf(key.digest));
    if (it != state->entries.end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

std::vector<ShardEntry> JournalHarness::AllStored() {
  std::vector<ShardEntry> all;
  for (const StoreEntry& row : store.List("/kingcupdrift/journal/")) {
    const Result<ShardState> state = DecodeShard(row.value.value);
    REQUIRE(state);
    for (const auto& [key, entry] : state->entries) {
      all.push_back(entry);
    }
  }
  return all;
}

}  // namespace kingcupdrift
