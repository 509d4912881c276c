#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/idempotency/journal_harness.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 3;
constexpr int kKeys = 4;
constexpr int kSteps = 120;
constexpr std::uint64_t kSeeds = 300;

IdempotencyKey OpaqueKey(const std::string& text) {
  const auto key = ParseIdempotencyKey(WorkspaceId("w"), ServiceId("s"), text);
  REQUIRE(key);
  return *key;
}

/// Takes random steps with several entries and keys while the store has faults,
/// and checks that no key runs twice and no intent is left without a reason.
class JournalWalk {
 public:
  explicit JournalWalk(std::uint64_t seed)
      : random_(seed), harness_(kEntries, {}, seed + 1) {
    for (int n = 0; n < kKeys; ++n) {
      const std::string text = fmt::format("k{}", n);
      keys_.push_back(n % 2 == 0 ? harness_.Key(text) : OpaqueKey(text));
    }
  }

  void Run() {
    for (int n = 0; n < kSteps; ++n) {
      Step();
      harness_.clock.Advance(milliseconds(random_.NextBelow(400)));
    }
    harness_.store.SetFault({});
    harness_.clock.Advance(seconds(120));
    CheckEnd();
  }

 private:
  enum class Phase { kBeginning, kStarted, kEnded, kLost };
  struct Attempt {
    std::size_t entry = 0;
    int key = 0;
    Phase phase = Phase::kBeginning;
  };

  void Step() {
    switch (random_.NextBelow(12)) {
      case 0:
      case 1:
      case 2:
      case 3:
        return Begin();
      case 4:
      case 5:
      case 6:
        return Decide();
      case 7:
        harness_.store.LoseReplies(1);
        return;
      case 8:
        harness_.store.DelayWrites(1, milliseconds(random_.NextBelow(8000)));
        return;
      case 9:
        return ToggleFault();
      case 10:
        return CancelOne();
      default:
        return Crash(random_.NextBelow(kEntries));
    }
  }

  void Begin() {
    const std::string id = fmt::format("attempt{}", next_attempt_++);
    Attempt attempt;
    attempt.entry = random_.NextBelow(kEntries);
    attempt.key = static_cast<int>(random_.NextBelow(kKeys));
    attempts_[id] = attempt;
    harness_.journal(attempt.entry)
        .Begin(harness_.Request(keys_[attempt.key], id),
               [this, id](const BeginResult& result) { OnBegun(id, result); });
  }

  void OnBegun(const std::string& id, const BeginResult& result) {
    Attempt& attempt = attempts_[id];
    CHECK(attempt.phase == Phase::kBeginning);
    if (result.status == BeginStatus::kAlreadyCompleted) {
      CHECK(runs_[attempt.key] == 1);
      CHECK(result.result->body == bodies_[attempt.key]);
    }
    const bool is_started = result.status == BeginStatus::kStarted;
    attempt.phase = is_started ? Phase::kStarted : Phase::kEnded;
  }

  /// Runs a started attempt, or abandons it.
  void Decide() {
    for (auto& [id, attempt] : attempts_) {
      if (attempt.phase != Phase::kStarted) {
        continue;
      }
      attempt.phase = Phase::kEnded;
      if (random_.NextBelow(3) == 0) {
        Abandon(id, attempt);
      } else {
        RunOnce(id, attempt);
      }
      return;
    }
  }

  void Abandon(const std::string& id, const Attempt& attempt) {
    harness_.journal(attempt.entry)
        .Abandon(keys_[attempt.key], AttemptId(id),
                 harness_.clock.Now() + seconds(3), [](const Result<void>&) {});
  }

  void RunOnce(const std::string& id, const Attempt& attempt) {
    ++runs_[attempt.key];
    CHECK(runs_[attempt.key] == 1);
    ran_.insert(id);
    Journal& journal = harness_.journal(attempt.entry);
    const IdempotencyKey& key = keys_[attempt.key];
    if (random_.NextBelow(3) == 0) {
      journal.MarkUnknown(key, AttemptId(id), [](const Result<void>&) {});
      return;
    }
    bodies_[attempt.key] = id;
    journal.Complete(key, AttemptId(id), StoredResult{200, id, "text/plain"},
                     [](const Result<void>&) {});
  }

  void CancelOne() {
    for (auto& [id, attempt] : attempts_) {
      if (attempt.phase == Phase::kBeginning) {
        attempt.phase = Phase::kEnded;
        harness_.journal(attempt.entry)
            .CancelBegin(keys_[attempt.key], AttemptId(id));
        return;
      }
    }
  }

  void ToggleFault() {
    fakes::StoreFault fault;
    fault.is_down = random_.NextBelow(3) == 0;
    fault.delay = milliseconds(random_.NextBelow(2) * random_.NextBelow(1500));
    harness_.store.SetFault(fault);
  }

  void Crash(std::size_t entry) {
    for (auto& [id, attempt] : attempts_) {
      const bool is_open = attempt.phase == Phase::kBeginning ||
                           attempt.phase == Phase::kStarted;
      if (attempt.entry == entry) {
        crashed_.insert(id);
      }
      if (attempt.entry == entry && is_open) {
        attempt.phase = Phase::kLost;
      }
    }
    harness_.Crash(entry);
  }

  void CheckEnd() {
    std::set<Digest128> excused;
    for (const auto& [id, attempt] : attempts_) {
      CHECK(attempt.phase != Phase::kBeginning);
      const bool is_pending = attempt.phase == Phase::kStarted;
      if (is_pending || crashed_.contains(id)) {
        excused.insert(DigestOf(id));
      }
    }
    for (const ShardEntry& entry : harness_.AllStored()) {
      const bool is_orphan = entry.state == EntryState::kIntent &&
                             !excused.contains(entry.attempt);
      CHECK(!is_orphan);
    }
    for (std::size_t n = 0; n < kEntries; ++n) {
      CHECK(harness_.journal(n).pending() == 0);
    }
  }

  SeededRandom random_;
  JournalHarness harness_;
  std::vector<IdempotencyKey> keys_;
  int next_attempt_ = 0;
  std::map<std::string, Attempt> attempts_;
  std::map<int, int> runs_;
  std::map<int, std::string> bodies_;
  std::set<std::string> ran_;
  // Attempts whose entry crashed at some time after they began.
  std::set<std::string> crashed_;
};

TEST_CASE(
    "Random steps run no key twice and leave no intent behind "
    "[idempotency]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed ", seed);
    CAPTURE(seed);
    JournalWalk(seed).Run();
  }
}

}  // namespace
}  // namespace kingcupdrift
