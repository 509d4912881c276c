#ifndef TESTS_IDEMPOTENCY_JOURNAL_HARNESS_H_
#define TESTS_IDEMPOTENCY_JOURNAL_HARNESS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/idempotency/idempotency.h"
#include "kingcupdrift/idempotency/internal/shard_state.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift {

/// The journals of several entries (serving processes), with one store and a
/// manual clock.
class JournalHarness {
 public:
  explicit JournalHarness(std::size_t entries,
                          JournalOptions options = {},
                          std::uint64_t seed = 1);

  /// A key created now, or at `age` before now.
  IdempotencyKey Key(const std::string& text, Duration age = Duration(0));
  BeginRequest Request(const IdempotencyKey& key, const std::string& attempt);

  /// Begins and advances the clock until the answer comes, at most
  /// `kCallTimeout` (empty then).
  std::optional<BeginResult> Begin(std::size_t entry, BeginRequest request);
  std::optional<BeginResult> Begin(std::size_t entry,
                                   const IdempotencyKey& key,
                                   const std::string& attempt);
  bool Abandon(std::size_t entry,
               const IdempotencyKey& key,
               const std::string& attempt);
  bool Complete(std::size_t entry,
                const IdempotencyKey& key,
                const std::string& attempt,
                const std::string& body);
  /// Replaces the entry's process by a new one, as after a crash.
  void Crash(std::size_t entry);

  /// The record that the store holds for `key`, if any.
  std::optional<ShardEntry> Stored(const IdempotencyKey& key);
  std::vector<ShardEntry> AllStored();

  Journal& journal(std::size_t entry) { return *entries_[entry].journal; }
  fakes::FakeStore& client(std::size_t entry) { return *entries_[entry].store; }

  fakes::ManualClock clock;
  SeededRandom random;
  fakes::StoreModel store;

 private:
  struct Node {
    std::unique_ptr<fakes::FakeStore> store;
    std::unique_ptr<Journal> journal;
  };

  Node MakeNode();

  JournalOptions options_;
  std::vector<Node> entries_;
};

}  // namespace kingcupdrift

#endif  // TESTS_IDEMPOTENCY_JOURNAL_HARNESS_H_
