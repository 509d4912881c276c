#include "kingcupdrift/store/leased_key.h"

#include <utility>

namespace kingcupdrift {
namespace {

const Logger kLog("store");

}  // namespace

LeasedKey::LeasedKey(PlatformStore& store,
                     Clock& clock,
                     Random& random,
                     std::string prefix,
                     std::string value)
    : store_(store),
      clock_(clock),
      random_(random),
      prefix_(std::move(prefix)),
      value_(std::move(value)) {}

template <typename T>
std::function<void(T)> LeasedKey::BindToLifetime(
    std::function<void(T)> callback) {
  const std::weak_ptr<bool> alive = lifetime_token_;
  return [alive, callback = std::move(callback)](T result) {
    if (!alive.expired()) {
      callback(std::move(result));
    }
  };
}

void LeasedKey::Start() {
  is_started_ = true;
  RequestLease();
}

void LeasedKey::WriteAgain() {
  if (!is_started_ || is_stopped_) {
    return;
  }
  // Answers to calls of the earlier era are ignored.
  lifetime_token_ = std::make_shared<bool>(true);
  lease_ = LeaseId();
  const auto delay = std::chrono::duration_cast<Duration>(kMaxRewriteDelay *
                                                          random_.NextDouble());
  timer_ = clock_.RunAfter(delay, [this] { RequestLease(); });
}

void LeasedKey::Stop() {
  is_stopped_ = true;
  timer_.reset();
  if (lease_.value() != 0) {
    store_.Revoke(lease_, [](const Result<void>& done) {
      if (!done) {
        kLog.Warning(
            "Could not revoke the lease of this process's key: {}; it will "
            "expire by itself.",
            done.error().detail);
      }
    });
  }
}

void LeasedKey::RequestLease() {
  lease_ = LeaseId();
  store_.GrantLease(kTimeToLive, BindToLifetime<Result<LeaseId>>(
                                     [this](Result<LeaseId> lease) {
                                       if (is_stopped_) {
                                         return;
                                       }
                                       if (!lease) {
                                         RetryLater();
                                         return;
                                       }
                                       Write(*lease);
                                     }));
}

void LeasedKey::Write(LeaseId lease) {
  const std::string key = prefix_ + random_.GenerateToken();
  store_.CompareAndSwap(key, StoreVersion(), value_, lease,
                        BindToLifetime<Result<StoreVersion>>(
                            [this, lease](const Result<StoreVersion>& written) {
                              lease_ = lease;
                              if (is_stopped_) {
                                Stop();
                                return;
                              }
                              if (!written) {
                                RetryLater();
                                return;
                              }
                              timer_ = clock_.RunAfter(kRenewInterval,
                                                       [this] { Renew(); });
                            }));
}

void LeasedKey::Renew() {
  store_.KeepAlive(
      lease_, BindToLifetime<Result<void>>([this](Result<void> done) {
        if (is_stopped_) {
          return;
        }
        if (!done && done.error().code == ErrorCode::kNotFound) {
          kLog.Info(
              "The lease of this process's key has expired; writing a new key "
              "under a new lease.");
          RequestLease();
          return;
        }
        timer_ = clock_.RunAfter(done ? kRenewInterval : kRetryDelay,
                                 [this] { Renew(); });
      }));
}

void LeasedKey::RetryLater() {
  timer_ = clock_.RunAfter(kRetryDelay, [this] { RequestLease(); });
}

}  // namespace kingcupdrift
