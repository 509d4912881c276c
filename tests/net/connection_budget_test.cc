#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

#include "kingcupdrift/net/net.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;

constexpr ByteCount kLimit{1'000'000};
constexpr ByteCount kLarge{400'000};

/// A connection that frees its bytes when it is shed.
struct FakeConnection : BudgetedConnection {
  explicit FakeConnection(ConnectionBudget& budget)
      : account(std::in_place, budget, *this) {
    account->BeginRequest();
  }

  ByteCount ReadKernelBytes() override { return in_kernel; }
  void Shed() override {
    is_shed = true;
    account->SetBusy(false);
    account->SetBlocked(false);
    account->SetHeld(ByteCount(0));
  }
  void Evict() override {
    is_evicted = true;
    account.reset();
  }

  std::optional<ConnectionAccount> account;
  ByteCount in_kernel;
  bool is_shed = false;
  bool is_evicted = false;
};

struct BudgetFixture {
  explicit BudgetFixture(ConnectionBudgetSettings settings = {kLimit, {}})
      : budget(clock, settings) {}

  FakeConnection& Add() {
    connections.push_back(std::make_unique<FakeConnection>(budget));
    return *connections.back();
  }

  fakes::ManualClock clock;
  ConnectionBudget budget;
  std::vector<std::unique_ptr<FakeConnection>> connections;
};

TEST_CASE("bodies over the limit are shed, the latest request first") {
  BudgetFixture net;
  FakeConnection& first = net.Add();
  FakeConnection& second = net.Add();
  FakeConnection& third = net.Add();
  third.account->SetHeld(kLarge);
  first.account->SetHeld(kLarge);
  CHECK(net.budget.shed_requests() == 0);
  second.account->SetHeld(kLarge);
  CHECK(third.is_shed);
  CHECK_FALSE(first.is_shed);
  CHECK_FALSE(second.is_shed);
  CHECK(net.budget.held() == kLarge + kLarge);
}

TEST_CASE("a stalled request is shed before those that make progress") {
  BudgetFixture net;
  FakeConnection& stalled = net.Add();
  stalled.account->SetHeld(kLarge);
  net.clock.Advance(ConnectionBudget::kStallTime / 2);
  FakeConnection& slow = net.Add();
  slow.account->SetHeld(kLarge);
  net.clock.Advance(ConnectionBudget::kStallTime / 2);
  FakeConnection& last = net.Add();
  last.account->SetHeld(kLarge);
  CHECK(stalled.is_shed);
  CHECK_FALSE(slow.is_shed);
  CHECK_FALSE(last.is_shed);
}

TEST_CASE("a client that sends too little counts as stalled") {
  BudgetFixture net;
  FakeConnection& trickling = net.Add();
  FakeConnection& steady = net.Add();
  trickling.account->SetHeld(kLarge);
  steady.account->SetHeld(kLarge);
  for (int i = 0; i < 50; ++i) {
    net.clock.Advance(ConnectionBudget::kStallTime / 40);
    trickling.account->AddProgress(ByteCount(1));
    steady.account->AddProgress(ConnectionBudget::kProgressStep);
  }
  net.Add().account->SetHeld(kLarge);
  CHECK(trickling.is_shed);
  CHECK_FALSE(steady.is_shed);
}

TEST_CASE("a client may pause for as long as memory is not short") {
  BudgetFixture net;
  FakeConnection& paused = net.Add();
  paused.account->SetHeld(kLarge);
  net.clock.Advance(100 * ConnectionBudget::kStallTime);
  net.Add().account->SetHeld(kLarge);
  CHECK(net.budget.shed_requests() == 0);
}

TEST_CASE("small requests are not shed for large ones") {
  BudgetFixture net;
  std::vector<FakeConnection*> small;
  for (int i = 0; i < 20; ++i) {
    small.push_back(&net.Add());
    small.back()->account->SetHeld(ConnectionBudget::kSmallRequestBytes);
  }
  for (int i = 0; i < 10; ++i) {
    net.Add().account->SetHeld(kLarge);
  }
  CHECK(net.budget.held() <= kLimit);
  for (const FakeConnection* const it : small) {
    CHECK_FALSE(it->is_shed);
  }
}

TEST_CASE("many requests of a middle size are bounded too") {
  BudgetFixture net;
  for (int i = 0; i < 100; ++i) {
    net.Add().account->SetHeld(ConnectionBudget::kLargeRequestBytes);
  }
  CHECK(net.budget.held() <= kLimit);
}

TEST_CASE("bytes that are held elsewhere leave less for clients") {
  BudgetFixture net;
  ByteCount other;
  net.budget.SetOtherBytes([&] { return other; });
  FakeConnection& first = net.Add();
  first.account->SetHeld(kLarge);
  other = kLimit;
  net.clock.Advance(ConnectionBudget::kSampleInterval);
  CHECK_FALSE(first.is_shed);
  net.Add().account->SetHeld(ByteCount(1));
  CHECK(first.is_shed);
}

TEST_CASE("bytes in the kernel count while a connection is blocked") {
  BudgetFixture net;
  FakeConnection& blocked = net.Add();
  blocked.account->SetBusy(true);
  blocked.account->SetHeld(ByteCount(16'000));
  blocked.in_kernel = kLimit;
  net.clock.Advance(ConnectionBudget::kSampleInterval);
  CHECK(net.budget.held() == ByteCount(16'000));
  blocked.account->SetBlocked(true);
  net.clock.Advance(ConnectionBudget::kSampleInterval);
  CHECK(blocked.is_shed);
}

TEST_CASE("a request that is being handled is not shed") {
  BudgetFixture net;
  FakeConnection& handled = net.Add();
  handled.account->SetBusy(true);
  handled.account->SetHeld(kLimit);
  net.Add().account->SetHeld(kLarge);
  CHECK_FALSE(handled.is_shed);
}

TEST_CASE("without a limit nothing is shed") {
  BudgetFixture net{ConnectionBudgetSettings()};
  for (int i = 0; i < 100; ++i) {
    net.Add().account->SetHeld(kLimit);
  }
  CHECK(net.budget.shed_requests() == 0);
}

TEST_CASE("the longest idle connection makes room for a new one") {
  constexpr std::size_t kMaxConnections = 3;
  BudgetFixture net{{{}, kMaxConnections}};
  std::vector<FakeConnection*> open;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    open.push_back(&net.Add());
    CHECK(net.budget.MakeRoomFor(*open.back()->account));
    net.clock.Advance(milliseconds(1));
  }
  open[0]->account->SetBusy(true);
  FakeConnection& added = net.Add();
  CHECK(net.budget.MakeRoomFor(*added.account));
  CHECK_FALSE(open[0]->is_evicted);
  CHECK(open[1]->is_evicted);
  CHECK(net.budget.CountConnections() == kMaxConnections);
}

TEST_CASE("a new connection is refused if all others handle requests") {
  BudgetFixture net{{{}, 1}};
  net.Add().account->SetBusy(true);
  FakeConnection& added = net.Add();
  CHECK_FALSE(net.budget.MakeRoomFor(*added.account));
  CHECK_FALSE(added.is_evicted);
  CHECK(net.budget.refused_connections() == 1);
}

}  // namespace
}  // namespace kingcupdrift
