#include "kingcupdrift/engines/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

LeaseKeeper::LeaseKeeper(Clock& clock,
                         Random& random,
                         PlatformStore& store,
                         std::string key,
                         InstanceId self,
                         LeaseOptions options)
    : clock_(clock),
      random_(random),
      store_(store),
      key_(std::move(key)),
      self_(std::move(self)),
      options_(options),
      lifetime_token_(std::make_shared<bool>(true)) {}

LeaseKeeper::~LeaseKeeper() = default;

void LeaseKeeper::Start(ChangeCallback on_change) {
  on_change_ = std::move(on_change);
  Acquire();
}

void LeaseKeeper::Stop() {
  const LeaseId lease = std::exchange(lease_, LeaseId(0));
  EndHolding(State::kStopped);
  if (lease != LeaseId(0)) {
    store_.Revoke(lease, [](const Result<void>&) {});
  }
}

bool LeaseKeeper::IsHeld() const {
  const MonotonicTime now = clock_.Now();
  return state_ == State::kHeld && now >= active_from_ &&
         now < valid_until_ - options_.stop_margin;
}

FencingNumber LeaseKeeper::fencing_number() const {
  return IsHeld() ? fence_ : FencingNumber(0);
}

void LeaseKeeper::Acquire() {
  if (!is_candidate_) {
    RetryLater();
    return;
  }
  state_ = State::kAcquiring;
  ++epoch_;
  // One read is cheaper for the store than a lease grant that is then revoked.
  store_.Get(key_, BindToEpoch<std::optional<StoreValue>>(
                       [this](const Result<std::optional<StoreValue>>& value) {
                         if (value && !*value) {
                           RequestLease();
                         } else {
                           RetryLater();
                         }
                       }));
}

void LeaseKeeper::RequestLease() {
  const MonotonicTime sent_at = clock_.Now();
  store_.GrantLease(
      options_.time_to_live,
      BindToEpoch<LeaseId>([this, sent_at](Result<LeaseId> lease) {
        if (lease) {
          lease_ = *lease;
          ClaimKey(sent_at);
        } else {
          RetryLater();
        }
      }));
}

void LeaseKeeper::ClaimKey(MonotonicTime sent_at) {
  token_ = self_.value() + "/" + random_.GenerateToken();
  store_.CompareAndSwap(
      key_, StoreVersion(0), token_, lease_,
      BindToEpoch<StoreVersion>([this, sent_at](Result<StoreVersion> taken) {
        if (taken) {
          OnKeyClaimed(*taken, sent_at);
        } else {
          // The write may have reached the store or may still be on its way;
          // revoking its lease makes it void.
          RevokeLeaseAndRetry();
        }
      }));
}

void LeaseKeeper::OnKeyClaimed(StoreVersion version, MonotonicTime sent_at) {
  state_ = State::kHeld;
  fence_ = FencingNumber(version.value());
  valid_until_ = sent_at + options_.time_to_live;
  // The previous holder may have sent orders until its lease ended; wait until
  // they have taken effect.
  active_from_ = clock_.Now() + options_.max_effect_delay;
  AwaitStart();
  ScheduleRenewal();
  WatchExpiry();
}

void LeaseKeeper::AwaitStart() {
  const Duration wait = active_from_ - clock_.Now();
  if (wait <= Duration::zero()) {
    Notify();
    return;
  }
  // A timer may fire slightly early, so the callback checks the time again.
  start_timer_ = clock_.RunAfter(wait, [this] { AwaitStart(); });
}

void LeaseKeeper::ScheduleRenewal() {
  renew_timer_ = clock_.RunAfter(options_.renew_interval, [this] { Renew(); });
}

void LeaseKeeper::Renew() {
  const MonotonicTime sent_at = clock_.Now();
  store_.KeepAlive(
      lease_, BindToEpoch<void>([this, sent_at](const Result<void>& renewed) {
        OnRenewed(renewed, sent_at);
      }));
  ScheduleRenewal();
}

void LeaseKeeper::OnRenewed(const Result<void>& renewed,
                            MonotonicTime sent_at) {
  if (renewed) {
    valid_until_ = std::max(valid_until_, sent_at + options_.time_to_live);
    WatchExpiry();
  } else if (renewed.error().code == ErrorCode::kNotFound) {
    RevokeLeaseAndRetry();
  }
}

void LeaseKeeper::WatchExpiry() {
  const MonotonicTime end = valid_until_ - options_.stop_margin;
  expiry_timer_ =
      clock_.RunAfter(end - clock_.Now(), [this] { RevokeLeaseAndRetry(); });
}

void LeaseKeeper::RevokeLeaseAndRetry() {
  const LeaseId lease = std::exchange(lease_, LeaseId(0));
  // A lost revocation does no harm: the lease expires by itself.
  store_.Revoke(lease, [](const Result<void>&) {});
  EndHolding(State::kIdle);
  RetryLater();
}

void LeaseKeeper::EndHolding(State state) {
  state_ = state;
  ++epoch_;
  fence_ = FencingNumber(0);
  renew_timer_.reset();
  start_timer_.reset();
  expiry_timer_.reset();
  retry_timer_.reset();
  Notify();
}

void LeaseKeeper::RetryLater() {
  if (state_ == State::kStopped) {
    return;
  }
  state_ = State::kIdle;
  const double jitter = 0.5 + random_.NextDouble();
  const auto wait =
      std::chrono::duration_cast<Duration>(options_.retry_interval * jitter);
  retry_timer_ = clock_.RunAfter(wait, [this] { Acquire(); });
}

void LeaseKeeper::Notify() {
  const bool is_held = IsHeld();
  if (is_held == last_reported_held_) {
    return;
  }
  last_reported_held_ = is_held;
  if (on_change_) {
    on_change_(is_held);
  }
}

template <typename T>
std::function<void(Result<T>)> LeaseKeeper::BindToEpoch(
    std::function<void(Result<T>)> callback) {
  const std::weak_ptr<bool> guard = lifetime_token_;
  const std::uint64_t epoch = epoch_;
  return [this, guard, epoch, callback = std::move(callback)](Result<T> value) {
    if (!guard.expired() && epoch == epoch_) {
      callback(std::move(value));
    }
  };
}

}  // namespace kingcupdrift
