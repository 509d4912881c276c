// Measures the journal's store calls, bytes and processor time against the rate
// of its requests.

#include <memory>
#include <string>

#include "bench/capacity/scaling_measurement.h"
#include "kingcupdrift/idempotency/idempotency.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift {
namespace {

/// Journal requests a second: 5 in 100 of 13,000 requests a second.
constexpr double kPlannedRate = 650;
constexpr int kSimulatedSeconds = 30;

struct Entry {
  Entry(int index, fakes::StoreModel& model, Clock& clock)
      : random(static_cast<std::uint64_t>(index)),
        client(fakes::FakeStoreOptions(), model, clock),
        journal(clock, random, client) {}

  SeededRandom random;
  fakes::FakeStore client;
  Journal journal;
};

struct Measurement {
  double writes_per_second = 0;
  double reads_per_second = 0;
  double kilobytes_per_second = 0;
  double core_share = 0;
};

Measurement MeasureRate(int per_second, int count) {
  fakes::ManualClock clock;
  fakes::StoreModel model(clock);
  std::vector<std::unique_ptr<Entry>> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back(std::make_unique<Entry>(i, model, clock));
  }
  const double before = CpuSeconds();
  const Duration step = Duration(std::chrono::seconds(1)) / per_second;
  for (int i = 0; i < per_second * kSimulatedSeconds; ++i) {
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
  Measurement measurement;
  const auto seconds = static_cast<double>(kSimulatedSeconds);
  measurement.core_share = (CpuSeconds() - before) / seconds / count;
  std::uint64_t bytes = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  for (const auto& it : entries) {
    writes += it->journal.counters().writes;
    reads += it->journal.counters().reads;
    bytes += it->journal.counters().written_bytes;
  }
  measurement.writes_per_second = static_cast<double>(writes) / seconds;
  measurement.reads_per_second = static_cast<double>(reads) / seconds;
  measurement.kilobytes_per_second =
      static_cast<double>(bytes) / seconds / 1000;
  return measurement;
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
    const Measurement measurement = MeasureRate(rate, count);
    const auto size = static_cast<double>(rate);
    writes.samples.push_back({size, measurement.writes_per_second});
    reads.samples.push_back({size, measurement.reads_per_second});
    bytes.samples.push_back({size, measurement.kilobytes_per_second});
    cpu.samples.push_back({size, 100 * measurement.core_share});
  }
  return {writes, reads, bytes, cpu};
}

}  // namespace

std::vector<ScalingMeasurement> MeasureJournal() {
  std::vector<ScalingMeasurement> measurements =
      MeasureEntries("journal, one writer", 1);
  const std::vector<ScalingMeasurement> eight_writers =
      MeasureEntries("journal, 8 writers", 8);
  measurements.insert(measurements.end(), eight_writers.begin(),
                      eight_writers.end());
  return measurements;
}

}  // namespace kingcupdrift
