#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/idempotency/idempotency.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Load and settings of one run.
struct Load {
  const char* name;
  std::size_t writers;
  double requests_per_second;
  std::uint32_t shards_per_bucket;
  Duration intent_batch_wait;
  Duration bucket;
  /// Requests are forwarded to the owner of their key's shard: each writer gets
  /// only the keys of its own shards.
  bool is_forwarded;
};

struct Figures {
  double writes_per_second = 0;
  double reads_per_second = 0;
  double conflicts_per_second = 0;
  double mean_write_bytes = 0;
  Duration median_wait{0};
  Duration slowest_wait{0};
  int started = 0;
  int refused = 0;
};

/// Sends non-idempotent requests at random times to the journals of random
/// writers, or of their shards' owners. Each request completes 100 ms after its
/// start, with a result of 500 bytes.
class RateRun {
 public:
  explicit RateRun(const Load& load) : load_(load), random_(1), model_(clock_) {
    options_.shards_per_bucket = load.shards_per_bucket;
    options_.intent_batch_wait = load.intent_batch_wait;
    options_.bucket = load.bucket;
    for (std::size_t n = 0; n < load.writers; ++n) {
      stores_.push_back(std::make_unique<fakes::FakeStore>(
          fakes::FakeStoreOptions{}, model_, clock_));
      journals_.push_back(std::make_unique<Journal>(clock_, random_,
                                                    *stores_.back(), options_));
    }
  }

  Figures Run(Duration time) {
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1.0 / load_.requests_per_second));
    const MonotonicTime end = clock_.Now() + time;
    while (clock_.Now() < end) {
      Offer();
      clock_.Advance(Duration(random_.NextBelow(2 * gap.count() + 1)));
    }
    const double passed = std::chrono::duration<double>(time).count();
    clock_.Advance(seconds(10));
    return Summary(passed);
  }

 private:
  void Offer() {
    const std::string id = fmt::format("{}", next_++);
    const auto now = std::chrono::duration_cast<seconds>(
        clock_.WallNow().time_since_epoch());
    const auto key = ParseIdempotencyKey(WorkspaceId("w"), ServiceId("s"),
                                         fmt::format("{}-{}", now.count(), id));
    const std::size_t shard = FastHash(key->digest) % load_.shards_per_bucket;
    const std::size_t writer = load_.is_forwarded
                                   ? shard % load_.writers
                                   : random_.NextBelow(load_.writers);
    BeginRequest request;
    request.key = *key;
    request.attempt = AttemptId(id);
    request.run_until = clock_.WallNow() + seconds(60);
    request.deadline = clock_.Now() + seconds(60);
    const MonotonicTime start = clock_.Now();
    journals_[writer]->Begin(
        request, [this, writer, request, start](const BeginResult& result) {
          waits_.push_back(clock_.Now() - start);
          const bool is_started = result.status == BeginStatus::kStarted;
          (is_started ? figures_.started : figures_.refused) += 1;
          if (is_started) {
            FinishLater(writer, request);
          }
        });
  }

  void FinishLater(std::size_t writer, const BeginRequest& request) {
    calls_.push_back(clock_.RunAfter(milliseconds(100), [=, this] {
      journals_[writer]->Complete(
          request.key, request.attempt,
          StoredResult{201, std::string(500, 'x'), "application/json"},
          [](const Result<void>&) {});
    }));
  }

  Figures Summary(double passed) {
    std::uint64_t written_bytes = 0;
    std::uint64_t writes = 0;
    for (const auto& it : journals_) {
      written_bytes += it->counters().written_bytes;
      writes += it->counters().writes;
    }
    figures_.writes_per_second =
        static_cast<double>(model_.counters().writes) / passed;
    figures_.reads_per_second =
        static_cast<double>(model_.counters().reads) / passed;
    figures_.conflicts_per_second =
        static_cast<double>(model_.counters().conflicts) / passed;
    figures_.mean_write_bytes =
        static_cast<double>(written_bytes) / static_cast<double>(writes);
    std::sort(waits_.begin(), waits_.end());
    figures_.median_wait = waits_[waits_.size() / 2];
    figures_.slowest_wait = waits_.back();
    return figures_;
  }

  Load load_;
  JournalOptions options_;
  fakes::ManualClock clock_;
  SeededRandom random_;
  fakes::StoreModel model_;
  std::vector<std::unique_ptr<fakes::FakeStore>> stores_;
  std::vector<std::unique_ptr<Journal>> journals_;
  std::vector<std::unique_ptr<Timer>> calls_;
  std::vector<Duration> waits_;
  Figures figures_;
  int next_ = 0;
};

Figures Measure(const Load& load, Duration time) {
  const Figures figures = RateRun(load).Run(time);
  MESSAGE(std::string(load.name), ": ", figures.writes_per_second,
          " writes/s, ", figures.reads_per_second, " reads/s, ",
          figures.conflicts_per_second, " conflicts/s, ",
          figures.mean_write_bytes, " bytes a write, wait ",
          figures.median_wait.count(), " us median, ",
          figures.slowest_wait.count(), " us at most, ", figures.started,
          " started, ", figures.refused, " refused");
  return figures;
}

// The store's capacity is several hundred writes and about two thousand reads a
// second.
constexpr double kWriteBudget = 400;
constexpr double kReadBudget = 2000;

TEST_CASE(
    "The journals of today's entries stay within the store's budget "
    "[idempotency][rate]") {
  const Load today{"today, 8 entries, 20 requests/s",
                   8,
                   20,
                   8,
                   milliseconds(5),
                   seconds(60),
                   false};
  const Figures figures = Measure(today, seconds(60));
  CHECK(figures.writes_per_second <= kWriteBudget);
  CHECK(figures.reads_per_second <= kReadBudget);
  CHECK(figures.refused == 0);
}

TEST_CASE(
    "At the planned size, intents forwarded to their shard's owner stay within "
    "the budget [idempotency][rate]") {
  const Load planned{"planned, 16 owners, 650 requests/s",
                     16,
                     650,
                     16,
                     milliseconds(50),
                     seconds(10),
                     true};
  const Figures figures = Measure(planned, seconds(12));
  CHECK(figures.writes_per_second <= kWriteBudget);
  CHECK(figures.reads_per_second <= kReadBudget);
  CHECK(figures.refused == 0);
}

TEST_CASE(
    "At the planned size, intents written by every entry itself exceed the "
    "budget [idempotency][rate]") {
  const Load planned{"planned, 330 entries write for themselves",
                     330,
                     650,
                     64,
                     milliseconds(5),
                     seconds(10),
                     false};
  const Figures figures = Measure(planned, milliseconds(500));
  CHECK(figures.writes_per_second > kWriteBudget);
}

}  // namespace
}  // namespace kingcupdrift
