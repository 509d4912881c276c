#include "kingcupdrift/config/internal/retrying_store.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::internal {
namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

}  // namespace

RetryingStore::RetryingStore(PlatformStore& store,
                             Clock& clock,
                             Random& random,
                             MonotonicTime deadline)
    : store_(store),
      clock_(clock),
      random_(random),
      deadline_(deadline),
      backoff_(kMinBackoff) {}

template <typename Argument>
std::function<void(Argument)> RetryingStore::BindToLifetime(
    std::function<void(Argument)> callback) {
  std::weak_ptr<bool> alive = alive_;
  return [alive = std::move(alive),
          callback = std::move(callback)](Argument argument) {
    if (!alive.expired()) {
      callback(std::move(argument));
    }
  };
}

void RetryingStore::Get(const std::string& key, GetCallback callback) {
  store_.Get(key, BindToLifetime<Result<std::optional<StoreValue>>>(
                      [this, key, callback = std::move(callback)](auto result) {
                        if (result || !IsTransient(result.error().code)) {
                          callback(std::move(result));
                          return;
                        }
                        RetryGet(key, result.error(), callback);
                      }));
}

void RetryingStore::RetryGet(const std::string& key,
                             const Error& fault,
                             GetCallback callback) {
  RunAfterBackoff(
      fault, [this, key, callback = std::move(callback)](Result<void> waited) {
        if (!waited) {
          callback(tl::unexpected(waited.error()));
          return;
        }
        Get(key, callback);
      });
}

void RetryingStore::PutIfAbsent(const std::string& key,
                                const std::string& value,
                                DoneCallback callback) {
  CompareAndSwap(
      key, StoreVersion(0), value,
      [this, key, value,
       callback = std::move(callback)](Result<StoreVersion> written) {
        if (written || written.error().code == ErrorCode::kConflict) {
          callback({});
        } else if (IsTransient(written.error().code)) {
          RetryPut(key, value, written.error(), callback);
        } else {
          callback(tl::unexpected(written.error()));
        }
      });
}

void RetryingStore::RetryPut(const std::string& key,
                             const std::string& value,
                             const Error& fault,
                             DoneCallback callback) {
  RunAfterBackoff(fault, [this, key, value,
                          callback = std::move(callback)](Result<void> waited) {
    if (!waited) {
      callback(std::move(waited));
      return;
    }
    PutIfAbsent(key, value, callback);
  });
}

void RetryingStore::CompareAndSwap(const std::string& key,
                                   StoreVersion expected,
                                   const std::string& value,
                                   WriteCallback callback) {
  store_.CompareAndSwap(
      key, expected, value, LeaseId(0),
      BindToLifetime<Result<StoreVersion>>(std::move(callback)));
}

void RetryingStore::RunAfterBackoff(const Error& fault,
                                    const DoneCallback& callback) {
  const auto jitter =
      Duration(static_cast<Duration::rep>(random_.NextBelow(backoff_.count())));
  const Duration delay = backoff_ / 2 + jitter;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  const bool is_late = clock_.Now() + delay > deadline_;
  Result<void> result;
  if (is_late) {
    result = MakeError(ErrorCode::kDeadlineExceeded,
                       fmt::format("the store call did not succeed in time; "
                                   "last fault: {}: {}",
                                   GetErrorCodeName(fault.code), fault.detail));
  }
  const std::uint64_t id = next_timer_++;
  timers_[id] = clock_.RunAfter(is_late ? deadline_ - clock_.Now() : delay,
                                [this, id, result, callback] {
                                  timers_.erase(id);
                                  callback(result);
                                });
}

bool IsTransient(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kUnknownEffect:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kConnectionLost:
    case ErrorCode::kOverloaded:
      return true;
    default:
      return false;
  }
}

}  // namespace kingcupdrift::internal
