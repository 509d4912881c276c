#include "kingcupdrift/engines/internal/group.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

// True if the engine answered, so that the call cannot take effect later.
bool IsServerReply(const Error& error) {
  switch (error.code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kUnknownEffect:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kConnectionLost:
      return false;
    default:
      return true;
  }
}

}  // namespace

GroupReserver::Group::Group(Context context,
                            ReservationRequest request,
                            std::vector<GroupMember> members,
                            Callback callback,
                            LostCallback lost,
                            std::function<void()> on_finished)
    : context_(context),
      request_(std::move(request)),
      members_(std::move(members)),
      callback_(std::move(callback)),
      lost_(std::move(lost)),
      on_finished_(std::move(on_finished)),
      valid_until_(members_.size()),
      lifetime_token_(std::make_shared<bool>(true)) {
  std::sort(members_.begin(), members_.end(),
            [](const GroupMember& a, const GroupMember& b) {
              return a.engine.id < b.engine.id;
            });
}

void GroupReserver::Group::Start(MonotonicTime deadline) {
  deadline_timer_ =
      context_.clock.RunAfter(deadline - context_.clock.Now(), [this] {
        Fail(Error{ErrorCode::kDeadlineExceeded,
                   "not all engines had reserved memory by the deadline"});
      });
  ReserveNext();
}

void GroupReserver::Group::ReserveNext() {
  SendReserve(requested_members_++, &Group::OnMemberReserved);
}

void GroupReserver::Group::SendReserve(std::size_t index, Handler handler) {
  ++in_flight_;
  ReservationRequest request = request_;
  request.tokens = members_[index].tokens;
  const MonotonicTime expires_at =
      context_.clock.Now() + context_.options.time_to_live;
  const std::weak_ptr<bool> guard = lifetime_token_;
  context_.engines.Reserve(
      members_[index].engine, request,
      [this, guard, index, handler, expires_at](const Result<void>& answer) {
        if (guard.expired()) {
          return;
        }
        --in_flight_;
        if (answer) {
          valid_until_[index] = expires_at;
        }
        if (state_ == State::kReleasing) {
          // The reserve call may have arrived after the release.
          ReleaseMember(index);
          return;
        }
        (this->*handler)(index, answer);
      });
}

void GroupReserver::Group::OnMemberReserved(std::size_t index,
                                            const Result<void>& reserved) {
  if (!reserved) {
    if (IsServerReply(reserved.error())) {
      // The engine reserved nothing, so that it needs no release.
      requested_members_ = index;
    }
    Fail(reserved.error());
  } else if (requested_members_ < members_.size()) {
    ReserveNext();
  } else {
    OnHeld();
  }
}

void GroupReserver::Group::OnHeld() {
  state_ = State::kHeld;
  deadline_timer_.reset();
  ScheduleRenewal();
  const Callback callback = std::exchange(callback_, nullptr);
  callback(Result<void>());
}

void GroupReserver::Group::Fail(Error error) {
  const Callback callback = std::exchange(callback_, nullptr);
  const std::weak_ptr<bool> guard = lifetime_token_;
  StartReleasing();
  callback(tl::make_unexpected(std::move(error)));
  if (!guard.expired()) {
    FinishIfDone();
  }
}

void GroupReserver::Group::ScheduleRenewal() {
  renew_timer_ = context_.clock.RunAfter(context_.options.renew_interval,
                                         [this] { Renew(); });
}

void GroupReserver::Group::Renew() {
  const MonotonicTime now = context_.clock.Now();
  const auto is_past = [now](MonotonicTime end) { return end < now; };
  if (std::any_of(valid_until_.begin(), valid_until_.end(), is_past)) {
    ReportLost(Error{ErrorCode::kConnectionLost,
                     "a reservation expired before its renewal was confirmed"});
    return;
  }
  for (std::size_t n = 0; n < members_.size(); ++n) {
    SendReserve(n, &Group::OnRenewed);
  }
  ScheduleRenewal();
}

void GroupReserver::Group::OnRenewed(std::size_t /*index*/,
                                     const Result<void>& renewed) {
  if (!renewed && IsServerReply(renewed.error())) {
    ReportLost(renewed.error());
  }
}

void GroupReserver::Group::ReportLost(Error error) {
  const LostCallback lost = std::exchange(lost_, nullptr);
  StartReleasing();
  lost(std::move(error));
}

void GroupReserver::Group::Release() {
  if (state_ == State::kReleasing) {
    return;
  }
  StartReleasing();
}

void GroupReserver::Group::StartReleasing() {
  state_ = State::kReleasing;
  deadline_timer_.reset();
  renew_timer_.reset();
  for (std::size_t n = 0; n < requested_members_; ++n) {
    ReleaseMember(n);
  }
}

void GroupReserver::Group::ReleaseMember(std::size_t index) {
  ++unreleased_;
  const std::weak_ptr<bool> guard = lifetime_token_;
  context_.engines.Release(
      members_[index].engine, request_.id,
      [this, guard, index](const Result<void>& released) {
        if (!guard.expired()) {
          OnReleased(index, released || IsServerReply(released.error()));
        }
      });
}

void GroupReserver::Group::OnReleased(std::size_t index, bool has_replied) {
  --unreleased_;
  const bool is_expired = context_.clock.Now() >= valid_until_[index];
  if (has_replied || is_expired) {
    FinishIfDone();
    return;
  }
  release_timers_[index] = context_.clock.RunAfter(
      context_.options.release_retry_interval, [this, index] {
        const std::unique_ptr<Timer> timer = std::move(release_timers_[index]);
        release_timers_.erase(index);
        ReleaseMember(index);
      });
}

void GroupReserver::Group::FinishIfDone() {
  const bool is_done = state_ == State::kReleasing && in_flight_ == 0 &&
                       unreleased_ == 0 && release_timers_.empty();
  if (is_done) {
    on_finished_();
  }
}

}  // namespace kingcupdrift
