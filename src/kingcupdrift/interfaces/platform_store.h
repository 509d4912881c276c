#ifndef KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_
#define KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A value and the version of the write that stored it.
struct StoreValue {
  std::string value;
  StoreVersion version;
};

/// A change reported by a watch. `value` is empty if the key was deleted. An
/// event with an empty `key` reports only that the watch has reached `version`;
/// a store need not send such events.
struct StoreEvent {
  std::string key;
  std::optional<StoreValue> value;
  StoreVersion version;
  /// Era of the store that reported the change; absent if it did not say.
  std::optional<StoreEra> era = std::nullopt;
};

/// One record of the store: a key and its value.
struct StoreEntry {
  std::string key;
  StoreValue value;
};

/// Values of the keys that begin with a prefix. A watch after `version` misses
/// no later change.
struct StoreListing {
  std::vector<StoreEntry> entries;
  StoreVersion version;
  /// Era of the store that listed the values; absent if it did not say.
  std::optional<StoreEra> era = std::nullopt;
};

/// What could not be read of a store's answers since the start.
struct StoreReadFaults {
  /// Items of listings and watches; counted each time.
  std::uint64_t items = 0;
  /// Answers of which nothing was used.
  std::uint64_t answers = 0;
};

/// A running watch. Destroying it stops the events.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

/// The platform's key-value service. Every call but `Watch` ends with exactly
/// one callback, never inside the call. Errors:
///  - kUnavailable: nothing was sent or, on the users' platform, the store
///    answered 429 or 503;
///  - kConflict: the key had another version, nothing was written;
///  - kNotFound: the lease has ended (StoreHttpClient also takes an unreadable
///    answer to `KeepAlive` for that), the store answered 404, or the changes
///    that a watch asks for are no longer stored (StoreHttpClient reports the
///    latter as kConnectionLost);
///  - kProtocol: the answer of a read, of `GrantLease` or of a watch is
///    unreadable;
///  - kUnknownEffect: a write or a lease call may have taken effect, or may
///    still do so; for a watch, the connection was lost before the response;
///  - kDeadlineExceeded: a read or the start of a watch got no answer in time;
///  - kConnectionLost: a read got no usable answer, or a watch was refused,
///    cancelled or interrupted.
class PlatformStore {
 public:
  using GetCallback =
      std::function<void(Result<std::optional<StoreValue>> value)>;
  using ListCallback = std::function<void(Result<StoreListing>)>;
  using WriteCallback = std::function<void(Result<StoreVersion> written)>;
  using LeaseCallback = std::function<void(Result<LeaseId> lease)>;
  using DoneCallback = std::function<void(Result<void> done)>;
  using WatchCallback = std::function<void(Result<StoreEvent> event)>;

  virtual ~PlatformStore() = default;

  virtual void Get(const std::string& key, GetCallback callback) = 0;
  virtual void List(const std::string& prefix, ListCallback callback) = 0;

  /// Writes `value` only if the key's version is `expected` (0: absent). With a
  /// non-zero `lease` the store deletes the key when the lease ends.
  virtual void CompareAndSwap(const std::string& key,
                              StoreVersion expected,
                              std::string value,
                              LeaseId lease,
                              WriteCallback callback) = 0;
  /// Deletes the key only if its version is `expected`. `callback` receives the
  /// version of the delete.
  virtual void CompareAndDelete(const std::string& key,
                                StoreVersion expected,
                                WriteCallback callback) = 0;

  /// `time_to_live` is rounded up to whole seconds.
  virtual void GrantLease(Duration time_to_live, LeaseCallback callback) = 0;
  virtual void KeepAlive(LeaseId lease, DoneCallback callback) = 0;
  virtual void Revoke(LeaseId lease, DoneCallback callback) = 0;

  /// Calls `callback` for each change of a key below `prefix` with a version
  /// above `after`. An error is the last call and ends the watch; its owner
  /// starts another after a delay that it chooses. Destroying the watch ends it
  /// without a call.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix,
      StoreVersion after,
      WatchCallback callback) = 0;

  /// Zero from clients that don't count.
  virtual StoreReadFaults GetReadFaults() const { return {}; }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_
