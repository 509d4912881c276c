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

/// Store calls that are repeated until a deadline: reads, and writes of values
/// that never change under their key. Destroying it drops running calls without
/// callback. One object carries one chain of calls at a time.
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
  /// Writes `value` unless the key exists. Because the key fixes the value, an
  /// existing key counts as written.
  void PutIfAbsent(const std::string& key,
                   const std::string& value,
                   DoneCallback callback);
  /// One compare-and-swap, without retry.
  void CompareAndSwap(const std::string& key,
                      StoreVersion expected,
                      const std::string& value,
                      WriteCallback callback);
  /// Calls back after the next delay, or with kDeadlineExceeded, naming
  /// `fault`, when that would pass the deadline.
  void RunAfterBackoff(const Error& fault, const DoneCallback& callback);

 private:
  void RetryGet(const std::string& key,
                const Error& fault,
                GetCallback callback);
  void RetryPut(const std::string& key,
                const std::string& value,
                const Error& fault,
                DoneCallback callback);
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
  // Callbacks of the store hold it weakly and do nothing once it is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Whether a read or an idempotent write may succeed when repeated.
bool IsTransient(ErrorCode code);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_RETRYING_STORE_H_
