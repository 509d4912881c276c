#include <algorithm>
#include <cstring>

#include "tests/fakes/engine_model.h"
#include "tests/fakes/engine_model_stream.h"

namespace kingcupdrift::fakes {

Result<void> EngineModel::Resume(const AttemptId& attempt,
                                 std::uint64_t offset,
                                 EngineStreamObserver* observer) {
  Stream* stream = FindStream(attempt);
  if (stream == nullptr || stream->phase == Phase::kFailed ||
      offset < stream->request.emitted_tokens || offset > stream->total) {
    return MakeError(ErrorCode::kNotFound, "no such stream");
  }
  stream->observer = observer;
  stream->is_paused = false;
  stream->sent = offset;
  ScheduleFlush(attempt);
  return {};
}

void EngineModel::Detach(const AttemptId& attempt,
                         const EngineStreamObserver* observer) {
  Stream* stream = FindStream(attempt);
  if (stream != nullptr && stream->observer == observer) {
    stream->observer = nullptr;
  }
}

void EngineModel::SetPaused(const AttemptId& attempt,
                            const EngineStreamObserver* observer,
                            bool is_paused) {
  Stream* stream = FindStream(attempt);
  if (stream != nullptr && stream->observer == observer) {
    stream->is_paused = is_paused;
    ScheduleFlush(attempt);
  }
}

EngineModel::Stream* EngineModel::FindStream(const AttemptId& attempt) {
  const auto it = streams_.find(attempt);
  return it == streams_.end() ? nullptr : it->second.get();
}

void EngineModel::ScheduleFlush(const AttemptId& attempt) {
  to_flush_.push_back(attempt);
  if (!flush_timer_) {
    flush_timer_ = clock_.RunAfter(Duration::zero(), [this] { Flush(); });
  }
}

void EngineModel::Flush() {
  flush_timer_.reset();
  const std::vector<AttemptId> attempts = std::move(to_flush_);
  to_flush_.clear();
  for (const AttemptId& attempt : attempts) {
    Stream* stream = FindStream(attempt);
    if (stream == nullptr) {
      continue;
    }
    if (stream->phase != Phase::kFailed) {
      Send(*stream);
      continue;
    }
    EngineStreamObserver* observer = stream->observer;
    const Error failure = std::move(stream->failure);
    streams_.erase(attempt);
    if (observer != nullptr) {
      observer->OnFailed(failure);
    }
  }
}

void EngineModel::RemoveFromBatch(Stream& stream) {
  switch (stream.phase) {
    case Phase::kWaiting:
      waiting_.erase(&stream);
      break;
    case Phase::kPrefill:
      prefilling_.erase(&stream);
      std::erase_if(prefill_plan_, [&stream](const PrefillShare& share) {
        return share.stream == &stream;
      });
      break;
    case Phase::kDecode:
      std::erase(decoding_, &stream);
      break;
    case Phase::kFinished:
    case Phase::kFailed:
      break;
  }
  held_ -= stream.own_memory;
  stream.own_memory = TokenCount(0);
}

void EngineModel::FailStream(const AttemptId& attempt, Error error) {
  Stream* stream = FindStream(attempt);
  if (stream == nullptr || stream->phase == Phase::kFailed) {
    return;
  }
  RemoveFromBatch(*stream);
  stream->phase = Phase::kFailed;
  stream->failure = std::move(error);
  stream->expiry_timer.reset();
  ScheduleFlush(attempt);
  WakeUp();
}

void EngineModel::Expire(const AttemptId& attempt) {
  ++counters_.expired;
  FailStream(attempt, {ErrorCode::kDeadlineExceeded, "time limit passed"});
}

void EngineModel::Cancel(const AttemptId& attempt) {
  RemoveHold({HoldingKind::kImport, attempt.value()});
  const Stream* stream = FindStream(attempt);
  if (stream == nullptr || stream->phase == Phase::kFailed) {
    return;
  }
  ++counters_.cancelled;
  FailStream(attempt, {ErrorCode::kRefused, "cancelled"});
}

Result<void> EngineModel::AddHold(const HoldKey& key,
                                  const ReservationRequest& request) {
  const MonotonicTime expiry = clock_.Now() + request.time_to_live;
  const auto it = holds_.find(key);
  if (it != holds_.end()) {
    it->second.expiry = expiry;
    return {};
  }
  if (request.tokens > GetFreeMemory()) {
    return MakeError(ErrorCode::kOverloaded, "too little free memory");
  }
  held_ += request.tokens;
  holds_.emplace(key, Hold{request, expiry});
  return {};
}

void EngineModel::RemoveHold(const HoldKey& key) {
  const auto it = holds_.find(key);
  if (it == holds_.end()) {
    return;
  }
  held_ -= it->second.request.tokens;
  holds_.erase(it);
  WakeUp();
}

Result<void> EngineModel::Reserve(const ReservationRequest& request) {
  return AddHold({HoldingKind::kReservation, request.id.value()}, request);
}

void EngineModel::Release(const ReservationId& reservation) {
  for (const auto& [attempt, stream] : streams_) {
    if (stream->request.reservation == reservation &&
        stream->phase != Phase::kFinished) {
      FailStream(attempt, {ErrorCode::kRefused, "reservation released"});
    }
  }
  RemoveHold({HoldingKind::kReservation, reservation.value()});
}

TokenCount EngineModel::GetReservedTokens(const AttemptId& attempt) const {
  TokenCount sum;
  for (const auto& [key, hold] : holds_) {
    if (key.first == HoldingKind::kReservation &&
        hold.request.attempt == attempt) {
      sum += hold.request.tokens;
    }
  }
  return sum;
}

std::vector<EngineHolding> EngineModel::ListHoldings() const {
  const MonotonicTime now = clock_.Now();
  std::vector<EngineHolding> holdings;
  for (const auto& [key, hold] : holds_) {
    holdings.push_back({key.first, key.second, hold.request.owner,
                        hold.request.attempt, hold.request.tokens,
                        hold.expiry - now});
  }
  for (const auto& [attempt, stream] : streams_) {
    if (stream->phase != Phase::kFinished && stream->phase != Phase::kFailed) {
      holdings.push_back({HoldingKind::kStream, attempt.value(),
                          stream->request.owner, attempt, stream->own_memory,
                          stream->expiry - now});
    }
  }
  return holdings;
}

EngineReport EngineModel::GetCurrentReport() const {
  EngineReport report;
  report.sequence = report_sequence_;
  report.free_memory = GetFreeMemory();
  report.total_memory = options_.memory;
  report.running_streams =
      static_cast<std::uint32_t>(prefilling_.size() + decoding_.size());
  report.waiting_requests = static_cast<std::uint32_t>(waiting_.size());
  report.prefill_rate = measured_prefill_rate_;
  report.decode_rate = measured_decode_rate_;
  for (const Stream* stream : waiting_) {
    report.waiting_prefill_tokens += stream->request.prompt_tokens;
  }
  for (const Stream* stream : prefilling_) {
    report.waiting_prefill_tokens +=
        TokenCount(stream->remaining_prefill_tokens);
  }
  for (const auto& [attempt, stream] : streams_) {
    report.counted_attempts.push_back(attempt);
  }
  return report;
}

void EngineModel::TakeSnapshot() {
  const MonotonicTime now = clock_.Now();
  ++report_sequence_;
  snapshots_.push_back({GetCurrentReport(), now});
  // Keeps the newest snapshot that is at least `report_lag` old.
  while (snapshots_.size() > 1 &&
         snapshots_[1].time + options_.report_lag <= now) {
    snapshots_.pop_front();
  }
  snapshot_timer_ =
      clock_.RunAfter(options_.report_interval, [this] { TakeSnapshot(); });
}

EngineReport EngineModel::GetReport() const {
  const MonotonicTime now = clock_.Now();
  const Snapshot* shown = &snapshots_.front();
  for (const Snapshot& snapshot : snapshots_) {
    if (snapshot.time + options_.report_lag <= now) {
      shown = &snapshot;
    }
  }
  EngineReport report = shown->report;
  report.age = now - shown->time;
  return report;
}

CacheEventBatch EngineModel::GetCacheEvents(
    std::uint64_t after_sequence) const {
  return cache_.FetchEvents(after_sequence);
}

Result<void> EngineModel::ApplyPlacementOrder(const PlacementOrder& order) {
  if (options_.is_fencing_enforced && order.fencing_number < highest_fence_) {
    ++counters_.fenced_orders;
    return MakeError(ErrorCode::kFenced,
                     "fencing number below the highest seen");
  }
  highest_fence_ = std::max(highest_fence_, order.fencing_number);
  counters_.orders.push_back(order);
  return {};
}

Result<SharedBytes> EngineModel::ExportCache(
    const std::vector<std::uint64_t>& blocks) {
  std::string bytes;
  for (const std::uint64_t block : blocks) {
    if (cache_.Contains(block)) {
      bytes.append(reinterpret_cast<const char*>(&block), sizeof(block));
    }
  }
  return std::make_shared<const std::string>(std::move(bytes));
}

Result<void> EngineModel::ImportCache(const ReservationRequest& holding,
                                      const std::string& exported) {
  if (exported.size() % sizeof(std::uint64_t) != 0) {
    return MakeError(ErrorCode::kRefused, "malformed cache export");
  }
  Result<void> added =
      AddHold({HoldingKind::kImport, holding.attempt.value()}, holding);
  if (!added) {
    return added;
  }
  std::vector<std::uint64_t> blocks(exported.size() / sizeof(std::uint64_t));
  std::memcpy(blocks.data(), exported.data(), exported.size());
  cache_.Insert(blocks);
  return {};
}

void EngineModel::Restart() {
  for (const auto& [attempt, stream] : streams_) {
    FailStream(attempt, {ErrorCode::kConnectionLost, "engine restarted"});
  }
  holds_.clear();
  held_ = TokenCount(0);
  cache_.Clear();
  highest_fence_ = FencingNumber(0);
  snapshots_.clear();
  TakeSnapshot();
}

}  // namespace kingcupdrift::fakes
