// Store calls, bytes and processor time of the journal by its request rate.

#include <memory>
#include <string>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/idempotency/idempotency.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift {
namespace {

/// 5 in 100 of 13,000 requests a second.
constexpr double kPlannedRate = 650;
constexpr int kSeconds = 30;

struct Entry {
  Entry(int index, fakes::StoreModel& model, Clock& clock)
      : random(static_cast<std::uint64_t>(index)),
        client(fakes::FakeStoreOptions(), model, clock),
        journal(clock, random, client) {}

  SeededRandom random;
  fakes::FakeStore client;
  Journal journal;
};

struct Figures {
  double writes_per_second = 0;
  double reads_per_second = 0;
  double kilobytes_per_second = 0;
  double core_share = 0;
};

Figures MeasureRate(int per_second, int count) {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  std::vector<std::unique_ptr<Entry>> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back(std::make_unique<Entry>(i, model, clock));
  }
  const double before = CpuSeconds();
  const Duration step = Duration(std::chrono::seconds(1)) / per_second;
  for (int i = 0; i < per_second * kSeconds; ++i) {
    Journal& journal = entries[static_cast<std::size_t>(i % count)]->journal;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        clock.WallNow().time_since_epoch());
    const auto key =
        ParseIdempotencyKey(WorkspaceId("w"), ServiceId("s"),
                            fmt::format("{:010}-order-{}", seconds.count(), i));
    BeginRequest request;
    request.key = *key;
    request.attempt = AttemptId(fmt::format("attempt-{}", i));
    request.run_until = clock.WallNow() + std::chrono::seconds(30);
    request.deadline = clock.Now() + std::chrono::seconds(30);
    journal.Begin(request, [&journal, request](const BeginResult& begun) {
      if (begun.status == BeginStatus::kStarted) {
        StoredResult result;
        result.status = 200;
        result.body = std::string(100, 'x');
        journal.Complete(request.key, request.attempt, result,
                         [](const Result<void>&) {});
      }
    });
    clock.Advance(step);
  }
  Figures figures;
  const auto seconds = static_cast<double>(kSeconds);
  figures.core_share = (CpuSeconds() - before) / seconds / count;
  std::uint64_t bytes = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  for (const auto& it : entries) {
    writes += it->journal.counters().writes;
    reads += it->journal.counters().reads;
    bytes += it->journal.counters().written_bytes;
  }
  figures.writes_per_second = static_cast<double>(writes) / seconds;
  figures.reads_per_second = static_cast<double>(reads) / seconds;
  figures.kilobytes_per_second = static_cast<double>(bytes) / seconds / 1000;
  return figures;
}

std::vector<ScalingMeasurement> MeasureEntries(const std::string& part,
                                               int count) {
  const std::string unit = "call a second";
  ScalingMeasurement writes{part, "store writes", "1/s", unit,
                            {},   kPlannedRate};
  ScalingMeasurement reads{part, "store reads", "1/s", unit, {}, kPlannedRate};
  ScalingMeasurement bytes{part, "bytes written", "kB/s", unit,
                           {},   kPlannedRate};
  ScalingMeasurement cpu{
      part,        "processor time of an entry", "% of a core", unit, {},
      kPlannedRate};
  for (const int rate : {5, 50, 200, 650}) {
    const Figures figures = MeasureRate(rate, count);
    const auto size = static_cast<double>(rate);
    writes.samples.push_back({size, figures.writes_per_second});
    reads.samples.push_back({size, figures.reads_per_second});
    bytes.samples.push_back({size, figures.kilobytes_per_second});
    cpu.samples.push_back({size, 100 * figures.core_share});
  }
  return {writes, reads, bytes, cpu};
}

}  // namespace

std::vector<ScalingMeasurement> MeasureJournal() {
  std::vector<ScalingMeasurement> slopes =
      MeasureEntries("journal, one writer", 1);
  const std::vector<ScalingMeasurement> many =
      MeasureEntries("journal, 8 writers", 8);
  slopes.insert(slopes.end(), many.begin(), many.end());
  return slopes;
}

}  // namespace kingcupdrift
