#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/store/store.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The budget of one entry (serving process), with budgeted stores of two
/// priorities.
struct BudgetedEntry {
  BudgetedEntry(fakes::ManualClock& clock,
                fakes::StoreModel& model,
                std::uint64_t seed,
                StoreBudgetOptions options = {})
      : random(seed),
        client({}, model, clock),
        budget(clock, random, options),
        journal(clock, client, budget, StorePriority::kJournal),
        sweep(clock, client, budget, StorePriority::kSweep) {}

  SeededRandom random;
  fakes::FakeStore client;
  StoreBudget budget;
  BudgetedStore journal;
  BudgetedStore sweep;
};

TEST_CASE("Calls stay within the entry's rate [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  BudgetedEntry entry(clock, model, 1);
  int answered = 0;
  for (int n = 0; n < 4000; ++n) {
    entry.journal.Get("k", [&](const auto&) { ++answered; });
    clock.Advance(milliseconds(1));
  }
  clock.Advance(seconds(5));
  CHECK(answered == 4000);
  // A burst of one second's calls, then 200 a second for the four seconds of
  // calls and the five seconds after them.
  CHECK(model.counters().reads <= 200 + 200 * 9);
  CHECK(entry.budget.counters().refused > 0);
  CHECK(entry.budget.counters().delayed > 0);
}

TEST_CASE("All entries together stay within the store's total rate [store]") {
  for (const std::size_t entry_count : {std::size_t{8}, std::size_t{330}}) {
    CAPTURE(entry_count);
    fakes::ManualClock clock;
    fakes::StoreModel model(clock);
    std::vector<std::unique_ptr<BudgetedEntry>> entries;
    for (std::size_t n = 0; n < entry_count; ++n) {
      entries.push_back(std::make_unique<BudgetedEntry>(clock, model, n + 1));
      entries.back()->budget.SetEntryCount(entry_count);
    }
    const auto send_calls = [&](int rounds) {
      for (int n = 0; n < rounds; ++n) {
        for (const auto& it : entries) {
          it->journal.Get("k", [](const auto&) {});
        }
        clock.Advance(milliseconds(100));
      }
    };
    send_calls(100);
    const std::uint64_t before = model.counters().reads;
    send_calls(100);
    const std::uint64_t in_ten_seconds = model.counters().reads - before;
    CHECK(in_ten_seconds <= 16'000 + entry_count);
  }
}

TEST_CASE("Waiting journal calls are sent before waiting sweep calls [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  StoreBudgetOptions options;
  options.max_writes_per_second = 10;
  BudgetedEntry entry(clock, model, 1, options);
  std::vector<std::string> order;
  for (int n = 0; n < 15; ++n) {
    entry.sweep.CompareAndDelete("s", StoreVersion(1), [&](const auto&) {
      order.emplace_back("sweep");
    });
  }
  for (int n = 0; n < 5; ++n) {
    entry.journal.CompareAndSwap(
        "j", StoreVersion(1), "v", LeaseId(0),
        [&](const auto&) { order.emplace_back("journal"); });
  }
  clock.Advance(milliseconds(1900));
  REQUIRE(order.size() >= 15);
  for (int n = 10; n < 15; ++n) {
    CHECK(order[n] == "journal");
  }
}

TEST_CASE("Calls are refused at once while the store is down [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  BudgetedEntry entry(clock, model, 1);
  model.SetFault({.is_down = true});
  for (int n = 0; n < 5; ++n) {
    entry.journal.Get("k", [](const auto&) {});
    clock.Advance(milliseconds(10));
  }
  REQUIRE(entry.budget.is_down());
  std::optional<ErrorCode> code;
  entry.journal.CompareAndSwap("k", StoreVersion(0), "v", LeaseId(0),
                               [&](const Result<StoreVersion>& written) {
                                 code = written.error().code;
                               });
  CHECK(!code);
  clock.Advance(Duration(1));
  CHECK(code == ErrorCode::kUnavailable);
}

TEST_CASE("Calls that wait when the store goes down are refused [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  StoreBudgetOptions options;
  options.max_reads_per_second = 5;
  BudgetedEntry entry(clock, model, 1, options);
  model.SetFault({.is_down = true});
  int answered = 0;
  for (int n = 0; n < 50; ++n) {
    entry.journal.Get("k", [&](const auto&) { ++answered; });
  }
  clock.Advance(milliseconds(50));
  CHECK(answered == 50);
}

TEST_CASE("Entries do not overload a store that comes back [store]") {
  constexpr std::size_t kEntries = 40;
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  std::vector<std::unique_ptr<BudgetedEntry>> entries;
  for (std::size_t n = 0; n < kEntries; ++n) {
    entries.push_back(std::make_unique<BudgetedEntry>(clock, model, n + 1));
    entries.back()->budget.SetEntryCount(kEntries);
  }
  const auto send_calls = [&] {
    for (const auto& it : entries) {
      for (int n = 0; n < 20; ++n) {
        it->journal.Get("k", [](const auto&) {});
      }
    }
    clock.Advance(milliseconds(100));
  };
  model.SetFault({.is_down = true});
  for (int n = 0; n < 300; ++n) {
    send_calls();
  }
  model.SetFault({});
  std::uint64_t most = 0;
  for (int n = 0; n < 150; ++n) {
    const std::uint64_t before = model.counters().reads;
    send_calls();
    most = std::max(most, model.counters().reads - before);
  }
  MESSAGE("most reads in 100 ms after the outage: ", most);
  // 1600 reads a second for all entries together, and one probe from each.
  CHECK(most <= 160 + kEntries);
  for (const auto& it : entries) {
    CHECK(!it->budget.is_down());
  }
}

TEST_CASE("Probes of a store that is down become rare [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  BudgetedEntry entry(clock, model, 1);
  model.SetFault({.is_down = true});
  for (int n = 0; n < 600; ++n) {
    entry.journal.Get("k", [](const auto&) {});
    clock.Advance(milliseconds(100));
  }
  // Bound on the calls in 60 s with a backoff that doubles from 0.1 to 5 s,
  // including the failures before the store counts as down.
  CHECK(entry.budget.counters().reads <= 35);
  CHECK(entry.budget.counters().outages == 1);
}

TEST_CASE("Open watches are counted and limited [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  StoreBudgetOptions options;
  options.max_watches = 1;
  BudgetedEntry entry(clock, model, 1, options);
  std::optional<ErrorCode> code;
  const auto note = [&](const Result<StoreEvent>& event) {
    if (!event) {
      code = event.error().code;
    }
  };
  auto first = entry.journal.Watch("a/", StoreVersion(0), note);
  const auto second = entry.journal.Watch("b/", StoreVersion(0), note);
  clock.Advance(milliseconds(10));
  CHECK(code == ErrorCode::kOverloaded);
  CHECK(entry.budget.open_watches() == 1);
  first.reset();
  CHECK(entry.budget.open_watches() == 0);
}

TEST_CASE(
    "A version conflict does not count as a failure of the store [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  BudgetedEntry entry(clock, model, 1);
  for (int n = 0; n < 10; ++n) {
    entry.journal.CompareAndSwap("k", StoreVersion(99), "v", LeaseId(0),
                                 [](const auto&) {});
    clock.Advance(milliseconds(10));
  }
  CHECK(!entry.budget.is_down());
  CHECK(entry.budget.counters().failures == 0);
}

TEST_CASE("No callback runs after destruction [store]") {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  fakes::FakeStore client({}, model, clock);
  SeededRandom random(1);
  StoreBudget budget(clock, random);
  auto store = std::make_unique<BudgetedStore>(clock, client, budget,
                                               StorePriority::kConfig);
  bool is_called = false;
  store->Get("k", [&](const auto&) { is_called = true; });
  store.reset();
  clock.Advance(seconds(5));
  CHECK(!is_called);
}

}  // namespace
}  // namespace kingcupdrift
