#include "kingcupdrift/store/store_budget.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::size_t IndexOf(StoreCallKind kind) {
  return kind == StoreCallKind::kRead ? 0 : 1;
}

}  // namespace

struct StoreBudget::Waiting {
  StoreCallKind kind = StoreCallKind::kRead;
  MonotonicTime give_up_at;
  AdmitCallback admission;
};

StoreBudget::StoreBudget(Clock& clock,
                         Random& random,
                         StoreBudgetOptions options)
    : clock_(clock), random_(random), options_(options) {
  for (const StoreCallKind kind :
       {StoreCallKind::kRead, StoreCallKind::kWrite}) {
    Bucket& bucket = buckets_[IndexOf(kind)];
    bucket.tokens = RateOf(kind) * options_.burst_seconds;
    bucket.filled_at = clock_.Now();
  }
}

StoreBudget::~StoreBudget() = default;

double StoreBudget::RecoveryShare() const {
  if (!is_recovering_) {
    return 1.0;
  }
  const double passed =
      ToSeconds(clock_.Now() - recovered_at_) / ToSeconds(options_.recovery);
  return std::clamp(passed, options_.recovery_share, 1.0);
}

double StoreBudget::RateOf(StoreCallKind kind) const {
  const bool is_read = kind == StoreCallKind::kRead;
  const double total = is_read ? options_.total_reads_per_second
                               : options_.total_writes_per_second;
  const double most =
      is_read ? options_.max_reads_per_second : options_.max_writes_per_second;
  const double share = total / static_cast<double>(entry_count_);
  return std::min(most, share) * RecoveryShare();
}

bool StoreBudget::TryTake(StoreCallKind kind) {
  Bucket& bucket = buckets_[IndexOf(kind)];
  const MonotonicTime now = clock_.Now();
  const double rate = RateOf(kind);
  const double most = std::max(1.0, rate * options_.burst_seconds);
  const double added = rate * ToSeconds(now - bucket.filled_at);
  bucket.tokens = std::min(most, bucket.tokens + added);
  bucket.filled_at = now;
  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

void StoreBudget::Count(StoreCallKind kind) {
  if (kind == StoreCallKind::kRead) {
    ++counters_.reads;
  } else {
    ++counters_.writes;
  }
}

void StoreBudget::Admit(StorePriority priority,
                        StoreCallKind kind,
                        AdmitCallback admission) {
  if (is_down_) {
    const bool may_probe = !is_probing_ && clock_.Now() >= next_probe_;
    is_probing_ = is_probing_ || may_probe;
    if (may_probe) {
      Count(kind);
    } else {
      ++counters_.refused;
    }
    admission(may_probe);
    return;
  }
  auto& queue = waiting_[static_cast<std::size_t>(priority)];
  if (queue.size() >= options_.max_waiting) {
    ++counters_.refused;
    admission(false);
    return;
  }
  queue.push_back(
      Waiting{kind, clock_.Now() + options_.max_wait, std::move(admission)});
  const std::size_t before = queue.size();
  Serve();
  if (queue.size() >= before) {
    ++counters_.delayed;
  }
}

StoreBudget::AdmitCallback StoreBudget::TakeNext(bool& is_admitted) {
  // Reads and writes have their own tokens: a waiting read does not block a
  // write, nor a write a read.
  std::array<bool, 2> is_spent = {false, false};
  for (auto& queue : waiting_) {
    for (auto it = queue.begin(); it != queue.end(); ++it) {
      const bool is_late = clock_.Now() >= it->give_up_at;
      bool& is_kind_spent = is_spent[IndexOf(it->kind)];
      if (!is_late && (is_kind_spent || !TryTake(it->kind))) {
        is_kind_spent = true;
        continue;
      }
      is_admitted = !is_late;
      if (is_admitted) {
        Count(it->kind);
      } else {
        ++counters_.refused;
      }
      AdmitCallback admission = std::move(it->admission);
      queue.erase(it);
      return admission;
    }
  }
  return nullptr;
}

void StoreBudget::Serve() {
  bool is_admitted = false;
  while (const AdmitCallback admission = TakeNext(is_admitted)) {
    admission(is_admitted);
  }
  ArmTimer();
}

void StoreBudget::ArmTimer() {
  timer_.reset();
  MonotonicTime next = MonotonicTime::max();
  for (const auto& queue : waiting_) {
    for (const Waiting& call : queue) {
      const double missing =
          std::max(0.0, 1.0 - buckets_[IndexOf(call.kind)].tokens);
      // One tick more, so that rounding does not make the timer fire too early.
      const Duration refill =
          FromSeconds(missing / RateOf(call.kind)) + Duration(1);
      next = std::min({next, call.give_up_at, clock_.Now() + refill});
    }
  }
  if (next != MonotonicTime::max()) {
    timer_ = clock_.RunAfter(next - clock_.Now(), [this] { Serve(); });
  }
}

void StoreBudget::Report(bool has_replied) {
  if (has_replied) {
    failures_in_a_row_ = 0;
    if (is_down_) {
      is_down_ = false;
      is_probing_ = false;
      is_recovering_ = true;
      recovered_at_ = clock_.Now();
      EmptyBuckets();
    }
    return;
  }
  ++counters_.failures;
  ++failures_in_a_row_;
  if (is_down_) {
    ScheduleNextProbe();
  } else if (failures_in_a_row_ >= options_.failures_until_down) {
    StartOutage();
  }
}

void StoreBudget::EmptyBuckets() {
  for (Bucket& bucket : buckets_) {
    bucket.tokens = 0;
    bucket.filled_at = clock_.Now();
  }
}

void StoreBudget::StartOutage() {
  ++counters_.outages;
  is_down_ = true;
  backoff_ = options_.min_backoff / 2;
  ScheduleNextProbe();
  RefuseAll();
}

void StoreBudget::ScheduleNextProbe() {
  is_probing_ = false;
  backoff_ = std::min(options_.max_backoff, backoff_ * 2);
  const double jitter = 0.5 + random_.NextDouble();
  next_probe_ = clock_.Now() + FromSeconds(ToSeconds(backoff_) * jitter);
}

void StoreBudget::RefuseAll() {
  timer_.reset();
  std::vector<AdmitCallback> refused;
  for (auto& queue : waiting_) {
    for (Waiting& call : queue) {
      refused.push_back(std::move(call.admission));
    }
    queue.clear();
  }
  counters_.refused += refused.size();
  for (const AdmitCallback& admission : refused) {
    admission(false);
  }
}

bool StoreBudget::TryOpenWatch() {
  if (open_watches_ >= options_.max_watches) {
    return false;
  }
  ++open_watches_;
  ++counters_.watches_started;
  return true;
}

void StoreBudget::CloseWatch() {
  --open_watches_;
}

}  // namespace kingcupdrift
