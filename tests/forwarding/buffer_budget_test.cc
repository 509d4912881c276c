// Memory held for slow readers: marks, pauses and the order of aborts.

#include "kingcupdrift/forwarding/internal/buffer_budget.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <vector>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ByteCount kMemory{160'000'000};

struct Owner : BufferOwner {
  Owner(BufferBudget& budget, int number, std::vector<int>& yielded_in)
      : id(std::to_string(number)),
        yielded(yielded_in),
        account(budget, *this) {
    account.Open();
  }

  const RequestId& request() const override { return id; }
  ByteCount GetUnsentBytes() const override { return ByteCount(unsent); }
  ByteCount GetUndeliveredBytes() const override {
    return ByteCount(unsent + in_kernel);
  }
  ByteCount GetUnreadBytes() const override { return ByteCount(unread); }
  void SetEnginePaused(bool paused) override { is_paused = paused; }
  void Yield() override {
    unsent = 0;
    yielded.push_back(std::stoi(id.value()));
  }

  void Write(std::int64_t bytes, std::optional<ByteCount> remaining = {}) {
    account.HandleBeforeWrite();
    unsent += bytes;
    account.HandleWritten(remaining);
  }

  RequestId id;
  std::vector<int>& yielded;
  std::int64_t unsent = 0;
  std::int64_t in_kernel = 0;
  std::int64_t unread = 0;
  bool is_paused = false;
  BufferAccount account;
};

struct Fixture {
  explicit Fixture(std::optional<ByteCount> memory = kMemory)
      : budget(clock, log, memory) {}

  Owner& Add(std::int64_t bytes) {
    owners.emplace_back(budget, static_cast<int>(owners.size()), yielded);
    owners.back().Write(bytes);
    return owners.back();
  }

  ManualClock clock;
  std::string log_text;
  DecisionLog log{clock, [this](std::string_view bytes) {
                    log_text += bytes;
                    return bytes.size();
                  }};
  BufferBudget budget;
  std::vector<int> yielded;
  std::deque<Owner> owners;
};

// Guards against engines that are slowed down while there is room.
TEST_CASE("below the first mark, a connection may hold as much as ever") {
  Fixture f;
  for (int i = 0; i < 70; ++i) {
    CHECK_FALSE(f.Add(256'000).is_paused);
  }
  CHECK(f.budget.GetConnectionLimit() == BufferBudget::kMaxConnectionBytes);
  CHECK(f.Add(256'001).is_paused);
  CHECK_FALSE(f.budget.IsFull());
  f.clock.Advance(seconds(60));
  CHECK(f.yielded.empty());
}

TEST_CASE("above the first mark, those that hold the most are paused first") {
  Fixture f;
  BufferCharge bodies(f.budget);
  bodies.Set(f.budget.pause_mark());
  Owner& large = f.Add(200'000);
  Owner& small = f.Add(50'000);
  CHECK_FALSE(large.is_paused);
  // About half of the room is left, so the limit is about half as well.
  const std::int64_t room =
      (f.budget.abort_mark() - f.budget.pause_mark()).value();
  bodies.Set(f.budget.pause_mark() + ByteCount(room * 3 / 8));
  large.Write(100);
  small.Write(100);
  CHECK(large.is_paused);
  CHECK_FALSE(small.is_paused);
  CHECK(f.budget.pauses() == 1);
  // No more is held than before, but there is room again.
  bodies.Set(ByteCount(0));
  f.clock.Advance(BufferBudget::kCheckInterval);
  CHECK_FALSE(large.is_paused);
}

// Guards against engines that cut an answer off because nothing of it is read
// until the caller has taken all that is held.
TEST_CASE("an engine is resumed as soon as its caller has read a little") {
  Fixture f;
  Owner& owner = f.Add(260'000);
  CHECK(owner.is_paused);
  owner.unsent -= 10'000;
  f.clock.Advance(BufferBudget::kCheckInterval);
  CHECK(owner.is_paused);
  owner.unsent -= 10'000;
  f.clock.Advance(BufferBudget::kCheckInterval);
  CHECK_FALSE(owner.is_paused);
}

TEST_CASE("an engine that will send little more is not paused") {
  Fixture f;
  Owner& owner = f.Add(256'000);
  owner.Write(10'000, ByteCount(3000));
  CHECK_FALSE(owner.is_paused);
  owner.Write(10'000, ByteCount(3000));
  CHECK(owner.is_paused);
  // Memory is short: all engines are paused alike.
  Fixture full;
  BufferCharge bodies(full.budget);
  bodies.Set(full.budget.abort_mark());
  Owner& late = full.Add(0);
  late.Write(20'000, ByteCount(3000));
  CHECK(late.is_paused);
}

// Guards against aborts of answers that make progress, and against a wrong
// order of those that don't.
TEST_CASE("beyond the second mark, unread answers yield, the largest first") {
  Fixture f;
  BufferCharge bodies(f.budget);
  Owner& progressing = f.Add(250'000);
  f.Add(100'000);
  f.Add(220'000);
  f.Add(180'000);
  bodies.Set(f.budget.abort_mark() - ByteCount(300'000));
  CHECK(f.budget.IsFull());
  const auto run = [&](Duration time) {
    for (Duration it{0}; it < time; it += BufferBudget::kCheckInterval) {
      f.clock.Advance(BufferBudget::kCheckInterval);
      // Only its kernel shows that the caller reads.
      progressing.in_kernel = progressing.in_kernel == 0 ? 1460 : 0;
    }
  };
  run(BufferBudget::kUnreadTime - milliseconds(400));
  CHECK(f.yielded.empty());
  run(seconds(1));
  // 750,000 bytes are held where 300,000 fit.
  CHECK(f.yielded == std::vector<int>{2, 3, 1});
  CHECK(f.budget.aborts() == 3);
  CHECK(f.budget.held() < f.budget.abort_mark());
  f.log.Flush();
  CHECK(f.log_text.find("event=unread_aborted request=2 held=220000") !=
        std::string::npos);
  // Now there is room.
  CHECK_FALSE(f.budget.IsFull());
}

// Guards against aborts that rest on checks from long ago.
TEST_CASE("a caller is not taken for unread before it was observed") {
  Fixture f;
  f.Add(200'000);
  f.clock.Advance(seconds(60));
  BufferCharge bodies(f.budget);
  bodies.Set(f.budget.abort_mark());
  CHECK(f.budget.IsFull());
  f.clock.Advance(BufferBudget::kUnreadTime - milliseconds(400));
  CHECK(f.yielded.empty());
  f.clock.Advance(seconds(1));
  CHECK(f.yielded.size() == 1);
}

// Guards against aborts of callers that had nothing to read.
TEST_CASE("a caller that had read everything is not taken for unread") {
  Fixture f;
  BufferCharge bodies(f.budget);
  bodies.Set(f.budget.abort_mark());
  Owner& owner = f.Add(0);
  f.clock.Advance(seconds(60));
  owner.Write(200'000);
  f.clock.Advance(BufferBudget::kUnreadTime - milliseconds(400));
  CHECK(f.yielded.empty());
  f.clock.Advance(seconds(1));
  CHECK(f.yielded.size() == 1);
}

// Guards against memory that the kernel holds and no account covers.
TEST_CASE("what the kernel holds counts while engines are paused") {
  Fixture f;
  Owner& owner = f.Add(260'000);
  REQUIRE(owner.is_paused);
  owner.unread = 126'000;
  owner.in_kernel = 20'000;
  f.clock.Advance(BufferBudget::kCheckInterval);
  CHECK(f.budget.held() == ByteCount(406'000));
  owner.unsent = 0;
  owner.account.HandleDrained();
  f.clock.Advance(BufferBudget::kCheckInterval);
  CHECK(f.budget.held() == ByteCount(0));
}

TEST_CASE("requests are refused only if nothing may yield") {
  Fixture f;
  BufferCharge bodies(f.budget);
  bodies.Set(f.budget.abort_mark() + ByteCount(1));
  CHECK(f.budget.IsFull());
  bodies.Set(f.budget.abort_mark());
  CHECK_FALSE(f.budget.IsFull());
}

// The negative test: nothing is bounded but each connection, as before.
TEST_CASE("without a memory limit, only each connection is bounded") {
  Fixture f(std::nullopt);
  for (int i = 0; i < 1000; ++i) {
    CHECK_FALSE(f.Add(256'000).is_paused);
  }
  CHECK_FALSE(f.budget.IsFull());
  Owner& owner = f.Add(300'000);
  CHECK(owner.is_paused);
  owner.unsent = 1;
  f.clock.Advance(seconds(60));
  CHECK(owner.is_paused);
  owner.unsent = 0;
  owner.account.HandleDrained();
  CHECK_FALSE(owner.is_paused);
  CHECK(f.yielded.empty());
  f.owners.clear();
  CHECK(f.budget.held() == ByteCount(0));
}

}  // namespace
}  // namespace kingcupdrift::fakes
