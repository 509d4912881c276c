#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_RETRYING_STORE_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_RETRYING_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift::internal {

/// Retries reads, and writes to keys whose value is always the same (such as a
/// document's text under its digest), after transient store faults until a
/// deadline. The deadline bounds only the backoffs; a store operation that is
/// running is not cut off. The backoff grows with each fault, never falls
/// again, and is shared by all calls, so a call may start only after the
/// previous one has called back. Destroying the object drops running calls
/// without a callback.
class RetryingStore {
 public:
  using GetCallback = PlatformStore::GetCallback;
  using WriteCallback = PlatformStore::WriteCallback;
  using DoneCallback = PlatformStore::DoneCallback;

  RetryingStore(PlatformStore& store,
                Clock& clock,
                Random& random,
                MonotonicTime deadline);

  void Get(const std::string& key, GetCallback callback);
  /// Writes `value` unless the key exists. An existing key counts as success,
  /// because the key determines the value.
  void PutIfAbsent(const std::string& key,
                   const std::string& value,
                   DoneCallback callback);
  /// One compare-and-swap, without retry.
  void CompareAndSwap(const std::string& key,
                      StoreVersion expected,
                      const std::string& value,
                      WriteCallback callback);
  /// Calls back after the next backoff. If that would pass the deadline, calls
  /// back at the deadline with kDeadlineExceeded, whose detail names `fault`.
  void RunAfterBackoff(const Error& fault, const DoneCallback& callback);

 private:
  void RetryGet(const std::string& key,
                const Error& fault,
                GetCallback callback);
  void RetryPut(const std::string& key,
                const std::string& value,
                const Error& fault,
                DoneCallback callback);
  /// Returns a callback that does nothing once this object is destroyed.
  template <typename Argument>
  std::function<void(Argument)> BindToLifetime(
      std::function<void(Argument)> callback);

  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  MonotonicTime deadline_;
  Duration backoff_;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
  // Store callbacks hold a weak pointer to this and do nothing once it expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// True if a read or an idempotent write may succeed when retried.
bool IsTransient(ErrorCode code);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_RETRYING_STORE_H_
