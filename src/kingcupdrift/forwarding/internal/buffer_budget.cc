#include "kingcupdrift/forwarding/internal/buffer_budget.h"

#include <algorithm>

namespace kingcupdrift {
namespace {

ByteCount TakeShare(std::optional<ByteCount> limit, double share) {
  const ByteCount bytes = limit.value_or(ByteCount(0));
  return ByteCount(
      static_cast<std::int64_t>(share * static_cast<double>(bytes.value())));
}

}  // namespace

void BufferAccount::Open() {
  if (is_open_) {
    return;
  }
  is_open_ = true;
  budget_.accounts_.insert(this);
  last_progress_ = budget_.clock_.Now();
  UpdateHeld();
  undelivered_ = held_;
  budget_.ScheduleCheck();
}

void BufferAccount::Close() {
  if (!is_open_) {
    return;
  }
  ForgetPause();
  SetInKernel(ByteCount(0));
  budget_.held_ -= held_;
  held_ = ByteCount(0);
  budget_.accounts_.erase(this);
  is_open_ = false;
}

void BufferAccount::UpdateHeld() {
  const ByteCount held = owner_.GetUnsentBytes();
  budget_.held_ += held - held_;
  held_ = held;
}

void BufferAccount::SetInKernel(ByteCount bytes) {
  budget_.held_ += bytes - in_kernel_;
  in_kernel_ = bytes;
}

void BufferAccount::HandleBeforeWrite() {
  if (is_open_) {
    UpdateHeld();
  }
}

void BufferAccount::HandleWritten(std::optional<ByteCount> remaining) {
  if (!is_open_) {
    return;
  }
  const ByteCount before = held_;
  UpdateHeld();
  undelivered_ += held_ - before;
  ByteCount limit = budget_.GetConnectionLimit();
  if (budget_.has_limit_ && remaining &&
      *remaining <= BufferBudget::kFewBytes &&
      budget_.held_ <= budget_.abort_mark_) {
    limit = BufferBudget::kMaxConnectionBytes + BufferBudget::kFewBytes;
  }
  if (held_ > limit) {
    SetPaused(true, true);
  }
  budget_.ScheduleCheck();
}

void BufferAccount::HandleDrained() {
  if (!is_open_) {
    return;
  }
  UpdateHeld();
  SetPaused(false, true);
}

void BufferAccount::SetPaused(bool is_paused, bool tells_owner) {
  if (!is_open_ || is_paused_ == is_paused) {
    return;
  }
  is_paused_ = is_paused;
  if (is_paused) {
    ++budget_.paused_;
    ++budget_.pauses_;
  } else {
    --budget_.paused_;
  }
  if (tells_owner) {
    owner_.SetEnginePaused(is_paused);
  }
}

void BufferCharge::Set(ByteCount bytes) {
  budget_.held_ += bytes - bytes_;
  bytes_ = bytes;
}

void UnfinishedAccount::Set(ByteCount bytes) {
  const auto count_abortable = [this](ByteCount held) {
    return held > BufferBudget::kMinConnectionBytes ? held : ByteCount(0);
  };
  const ByteCount before = count_abortable(bytes_);
  const ByteCount after = count_abortable(bytes);
  budget_.held_ += bytes - bytes_;
  budget_.unfinished_bytes_ += after - before;
  bytes_ = bytes;
  if (after > ByteCount(0)) {
    budget_.unfinished_.insert(this);
    budget_.ScheduleAborts();
  } else if (before > ByteCount(0)) {
    budget_.unfinished_.erase(this);
  }
}

BufferBudget::BufferBudget(Clock& clock,
                           DecisionLog& log,
                           std::optional<ByteCount> memory_limit)
    : clock_(clock),
      log_(log),
      has_limit_(memory_limit.has_value()),
      pause_mark_(TakeShare(memory_limit, kPauseShare)),
      abort_mark_(TakeShare(memory_limit, kAbortShare)),
      spared_unfinished_(TakeShare(memory_limit, kUnfinishedShare)) {}

ByteCount BufferBudget::GetConnectionLimit() const {
  if (!has_limit_ || held_ <= pause_mark_) {
    return kMaxConnectionBytes;
  }
  const std::int64_t room = (abort_mark_ - pause_mark_).value() * 3 / 4;
  const std::int64_t left = room - (held_ - pause_mark_).value();
  if (left <= 0) {
    return kMinConnectionBytes;
  }
  const double share = static_cast<double>(left) / static_cast<double>(room);
  return std::max(
      kMinConnectionBytes,
      ByteCount(static_cast<std::int64_t>(
          share * static_cast<double>(kMaxConnectionBytes.value()))));
}

bool BufferBudget::IsFull() {
  if (!has_limit_ || held_ <= abort_mark_) {
    return false;
  }
  ScheduleAborts();
  if (held_ - unfinished_bytes_ <= abort_mark_) {
    return false;
  }
  // Without this interval, each arrival in a burst would cost a check.
  if (clock_.Now() - checked_at_ >= kCheckInterval) {
    Check();
  }
  ScheduleCheck();
  return held_ - unfinished_bytes_ > abort_mark_;
}

void BufferBudget::ScheduleAborts() {
  if (abort_timer_ || !has_limit_ || held_ <= abort_mark_) {
    return;
  }
  // The caller of this method may be the answer that has to end.
  abort_timer_ = clock_.RunAfter(Duration::zero(), [this] {
    abort_timer_.reset();
    AbortUnfinished(spared_unfinished_);
    if (held_ > abort_mark_ && clock_.Now() - checked_at_ >= kCheckInterval) {
      Check();
    }
    AbortUnfinished(ByteCount(0));
  });
}

void BufferBudget::AbortUnfinished(ByteCount spared) {
  while (held_ > abort_mark_ && unfinished_bytes_ > spared) {
    const auto largest = std::max_element(
        unfinished_.begin(), unfinished_.end(),
        [](const auto* a, const auto* b) { return a->bytes_ < b->bytes_; });
    UnfinishedAccount& account = **largest;
    UnfinishedAnswer& answer = account.answer_;
    ++unfinished_aborts_;
    log_.Add("forward", "unfinished_aborted")
        .Text("request", answer.request().value())
        .Number("held", account.bytes_.value())
        .Number("total", held_.value())
        .Number("mark", abort_mark_.value());
    account.Set(ByteCount(0));
    // May destroy the account.
    answer.AbortUnfinished();
  }
}

bool BufferBudget::NeedsChecks() const {
  return has_limit_ && (paused_ > 0 || held_ > pause_mark_);
}

void BufferBudget::ScheduleCheck() {
  if (!check_timer_ && NeedsChecks()) {
    check_timer_ = clock_.RunAfter(kCheckInterval, [this] {
      check_timer_.reset();
      Check();
      ScheduleCheck();
    });
  }
}

void BufferBudget::Check() {
  Refresh();
  ResumeEngines();
  AbortUnread();
  if (!NeedsChecks()) {
    ForgetKernelBytes();
  }
}

void BufferBudget::ForgetKernelBytes() {
  for (BufferAccount* const it : accounts_) {
    it->SetInKernel(ByteCount(0));
  }
}

void BufferBudget::Refresh() {
  const MonotonicTime now = clock_.Now();
  // What callers read between checks that are far apart is not known.
  const bool is_consecutive = now - checked_at_ <= 2 * kCheckInterval;
  checked_at_ = now;
  const std::uint64_t previous = check_++;
  for (BufferAccount* const it : accounts_) {
    it->UpdateHeld();
    const ByteCount undelivered = it->owner_.GetUndeliveredBytes();
    if (!is_consecutive || it->check_ != previous ||
        undelivered < it->undelivered_ || undelivered == ByteCount(0)) {
      it->last_progress_ = now;
    }
    it->undelivered_ = undelivered;
    const ByteCount unread =
        it->is_paused_ ? it->owner_.GetUnreadBytes() : ByteCount(0);
    it->SetInKernel(undelivered - it->held_ + unread);
    it->check_ = check_;
  }
}

void BufferBudget::ResumeEngines() {
  if (paused_ == 0) {
    return;
  }
  const ByteCount limit = GetConnectionLimit();
  const ByteCount mark =
      limit - std::min(kResumeStep, ByteCount(limit.value() / 4));
  for (BufferAccount* const it : accounts_) {
    if (it->is_paused_ && it->held_ <= mark) {
      it->SetPaused(false, true);
    }
  }
}

bool BufferBudget::MayAbort(const BufferAccount& account) const {
  return account.held_ > ByteCount(0) &&
         clock_.Now() - account.last_progress_ >= kUnreadTime;
}

void BufferBudget::AbortUnread() {
  if (held_ <= abort_mark_) {
    return;
  }
  std::vector<BufferAccount*> unread;
  for (BufferAccount* const it : accounts_) {
    if (MayAbort(*it)) {
      unread.push_back(it);
    }
  }
  std::sort(unread.begin(), unread.end(),
            [](const BufferAccount* a, const BufferAccount* b) {
              return a->total() > b->total();
            });
  for (BufferAccount* const it : unread) {
    if (held_ <= abort_mark_) {
      return;
    }
    // The abort of one answer may end others.
    if (!accounts_.contains(it)) {
      continue;
    }
    ++aborts_;
    log_.Add("forward", "unread_aborted")
        .Text("request", it->owner_.request().value())
        .Number("held", it->total().value())
        .Number("total", held_.value())
        .Number("mark", abort_mark_.value())
        .Milliseconds("unread", clock_.Now() - it->last_progress_);
    BufferOwner& owner = it->owner_;
    it->Close();
    // May destroy the account.
    owner.Yield();
  }
}

}  // namespace kingcupdrift
