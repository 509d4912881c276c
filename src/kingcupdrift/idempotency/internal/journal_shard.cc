#include "kingcupdrift/idempotency/internal/journal_shard.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/idempotency/internal/shard_decisions.h"

namespace kingcupdrift {
namespace {

constexpr Logger kLog("journal");

// Limits the doublings of the backoff so that it does not overflow.
constexpr int kMaxBackoffDoublings = 16;

// After this many reads in a row that found no write of another process, a
// shard no longer counts as contended.
constexpr int kMinUncontendedReads = 4;

}  // namespace

JournalShard::JournalShard(ShardContext context,
                           std::string shard_key,
                           std::optional<Duration> forget_after)
    : context_(context),
      shard_key_(std::move(shard_key)),
      forget_after_(forget_after),
      lifetime_token_(std::make_shared<bool>(true)) {}

JournalShard::~JournalShard() = default;

void JournalShard::Add(ShardOperation operation, MonotonicTime give_up_at) {
  const std::uint64_t id = next_arrival_++;
  operation.arrival = id;
  const MonotonicTime due_at = operation.due_at;
  const Duration wait = give_up_at - context_.clock.Now();
  operation.timer =
      context_.clock.RunAfter(wait, [this, id] { OnTimeout(id); });
  operations_.emplace(id, std::move(operation));
  if (!is_call_in_flight_) {
    Schedule(due_at);
  }
}

void JournalShard::CancelBegin(const Digest128& key, const Digest128& attempt) {
  for (auto& [id, operation] : operations_) {
    const bool is_match = operation.kind == ShardOperation::Kind::kBegin &&
                          operation.key == key && operation.attempt == attempt;
    if (is_match) {
      RollBack(id);
      return;
    }
  }
}

void JournalShard::OnTimeout(std::uint64_t id) {
  ShardOperation& operation = operations_.at(id);
  const std::unique_ptr<Timer> timer = std::move(operation.timer);
  if (operation.kind == ShardOperation::Kind::kFinish) {
    const auto on_done = std::exchange(operation.on_done, nullptr);
    if (on_done) {
      on_done(MakeError(ErrorCode::kDeadlineExceeded,
                        "the journal's write was not confirmed in time; an "
                        "abandon goes on in the background, a result or "
                        "unknown mark is given up: the key's retention is "
                        "over"));
    }
    return;
  }
  const auto on_begin = std::exchange(operation.on_begin, nullptr);
  BeginResult result;
  result.status = operation.may_be_written ? BeginStatus::kUnresolved
                                           : BeginStatus::kStoreUnavailable;
  RollBack(id);
  if (on_begin) {
    on_begin(std::move(result));
  }
}

void JournalShard::RollBack(std::uint64_t id) {
  ShardOperation& operation = operations_.at(id);
  if (!operation.may_be_written) {
    operations_.erase(id);
    return;
  }
  operation.kind = ShardOperation::Kind::kRollback;
  operation.on_begin = nullptr;
  operation.timer.reset();
  operation.due_at = context_.clock.Now();
  if (!is_call_in_flight_) {
    Schedule(operation.due_at);
  }
}

void JournalShard::Schedule(MonotonicTime time) {
  const MonotonicTime start = std::max(time, not_before_);
  const Duration wait = std::min(start, EarliestDue()) - context_.clock.Now();
  process_timer_ =
      context_.clock.RunAfter(wait, [this] { ProcessOperations(); });
}

MonotonicTime JournalShard::EarliestDue() const {
  MonotonicTime earliest = MonotonicTime::max();
  for (const auto& [id, operation] : operations_) {
    earliest = std::min(earliest, operation.due_at);
  }
  return std::max(earliest, not_before_);
}

void JournalShard::DropOutdated() {
  const WallTime now = context_.clock.WallNow();
  std::erase_if(operations_, [now](const auto& item) {
    return item.second.keep_until < now && !item.second.on_begin &&
           !item.second.on_done;
  });
}

void JournalShard::ProcessOperations() {
  if (is_call_in_flight_) {
    return;
  }
  process_timer_.reset();
  DropOutdated();
  if (operations_.empty()) {
    return;
  }
  if (has_state_) {
    Execute(MakePlan());
  } else if (EarliestDue() <= context_.clock.Now()) {
    Read();
  } else {
    Schedule(EarliestDue());
  }
}

void JournalShard::Execute(Plan plan) {
  for (const std::uint64_t id : plan.finished_operations) {
    operations_.erase(id);
  }
  const bool may_call_store = not_before_ <= context_.clock.Now();
  const bool must_write = plan.needs_fence || plan.is_due;
  const bool must_read =
      plan.needs_read || (must_write && is_contended_ && !is_state_read_);
  if (must_read && may_call_store) {
    Read();
  } else if (must_write && may_call_store) {
    Write(plan);
  } else if (!operations_.empty()) {
    Schedule(EarliestDue());
  }
  RunAnswers(plan.answers, lifetime_token_);
}

void JournalShard::RunAnswers(const std::vector<AnswerCallback>& answers,
                              const std::weak_ptr<bool>& guard) {
  for (const AnswerCallback& answer : answers) {
    if (guard.expired()) {
      return;
    }
    answer();
  }
}

void JournalShard::Read() {
  is_call_in_flight_ = true;
  ++context_.counters.reads;
  const std::uint64_t as_of = next_arrival_ - 1;
  const std::weak_ptr<bool> guard = lifetime_token_;
  context_.store.Get(
      shard_key_,
      [this, guard, as_of](const Result<std::optional<StoreValue>>& value) {
        if (!guard.expired()) {
          OnRead(value, as_of);
        }
      });
}

void JournalShard::OnRead(const Result<std::optional<StoreValue>>& value,
                          std::uint64_t as_of) {
  is_call_in_flight_ = false;
  if (!value) {
    BackOff();
  } else if (!*value) {
    UpdateContention(StoreVersion(0));
    AdoptState(ShardState{}, StoreVersion(0), as_of);
  } else {
    Result<ShardState> state = DecodeShard((*value)->value);
    if (state) {
      UpdateContention((*value)->version);
      AdoptState(std::move(*state), (*value)->version, as_of);
    } else {
      kLog.Error(
          "Cannot decode journal shard {}: {}; its requests are refused until "
          "it is repaired.",
          shard_key_, state.error().detail);
      BackOff();
    }
  }
  ProcessOperations();
}

void JournalShard::UpdateContention(StoreVersion version) {
  is_state_read_ = true;
  uncontended_reads_ = version == version_ ? uncontended_reads_ + 1 : 0;
  if (uncontended_reads_ >= kMinUncontendedReads) {
    is_contended_ = false;
  }
}

void JournalShard::AdoptState(ShardState state,
                              StoreVersion version,
                              std::uint64_t as_of) {
  has_state_ = true;
  state_ = std::move(state);
  version_ = version;
  state_as_of_ = as_of;
  ResolveUnknownWrite();
}

void JournalShard::ResolveUnknownWrite() {
  if (unknown_write_version_ && *unknown_write_version_ == version_) {
    // The version is unchanged, so the unanswered write may still succeed; only
    // a new write makes it fail.
    return;
  }
  unknown_write_version_.reset();
  failures_in_a_row_ = 0;
  ClearWrittenMarks();
}

void JournalShard::ClearWrittenMarks() {
  for (auto& [id, operation] : operations_) {
    operation.may_be_written = false;
  }
}

void JournalShard::Write(Plan& plan) {
  is_call_in_flight_ = true;
  is_state_read_ = false;
  in_flight_fence_ = state_.fence;
  if (plan.changing.empty()) {
    ++in_flight_fence_;
    ++context_.counters.fencing_writes;
  }
  for (const std::uint64_t id : plan.changing) {
    operations_.at(id).was_sent = true;
    operations_.at(id).may_be_written = true;
  }
  in_flight_changes_ = std::move(plan.changes);
  in_flight_expected_version_ = version_;
  in_flight_as_of_ = next_arrival_ - 1;
  std::string value = EncodeShard(state_, in_flight_changes_, in_flight_fence_);
  ++context_.counters.writes;
  context_.counters.written_bytes += value.size();
  const std::weak_ptr<bool> guard = lifetime_token_;
  context_.store.CompareAndSwap(
      shard_key_, in_flight_expected_version_, std::move(value), LeaseId(0),
      [this, guard](const Result<StoreVersion>& written) {
        if (!guard.expired()) {
          OnWritten(written);
        }
      });
}

void JournalShard::OnWritten(const Result<StoreVersion>& written) {
  is_call_in_flight_ = false;
  if (written) {
    ApplyChanges(in_flight_changes_, state_);
    state_.fence = in_flight_fence_;
    version_ = *written;
    state_as_of_ = in_flight_as_of_;
    ResolveUnknownWrite();
  } else {
    OnWriteFailed(written.error());
  }
  ProcessOperations();
}

void JournalShard::OnWriteFailed(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      ++context_.counters.conflicts;
      is_contended_ = true;
      uncontended_reads_ = 0;
      has_state_ = false;
      break;
    case ErrorCode::kUnavailable:
    case ErrorCode::kRefused:
    case ErrorCode::kOverloaded:
      BackOff();
      break;
    default:
      ++context_.counters.unknown_effects;
      has_state_ = false;
      unknown_write_version_ = in_flight_expected_version_;
      BackOff();
      return;
  }
  if (!unknown_write_version_) {
    ClearWrittenMarks();
  }
}

void JournalShard::BackOff() {
  const int doublings = std::min(failures_in_a_row_, kMaxBackoffDoublings);
  ++failures_in_a_row_;
  const Duration pause =
      std::min(context_.options.max_backoff,
               context_.options.min_backoff * (1 << doublings));
  const double jitter = 0.5 + context_.random.NextDouble();
  not_before_ = context_.clock.Now() +
                std::chrono::duration_cast<Duration>(pause * jitter);
}

}  // namespace kingcupdrift
