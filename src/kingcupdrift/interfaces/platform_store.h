#ifndef KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_
#define KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_

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
/// event with an empty `key`, which a store may leave out, reports only that
/// the watch has reached `version`.
struct StoreEvent {
  std::string key;
  std::optional<StoreValue> value;
  StoreVersion version;
};

struct StoreEntry {
  std::string key;
  StoreValue value;
};

/// Values below a prefix. A watch after `version` misses no later change.
struct StoreListing {
  std::vector<StoreEntry> entries;
  StoreVersion version;
};

/// A running watch. Destroying it stops the events.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
};

/// The platform's key-value service. Every call ends with exactly one callback,
/// never inside the call, with an error of kind:
///  - kUnavailable: nothing was sent;
///  - kConflict: the key had another version, nothing was written;
///  - kNotFound: the lease has ended, or the changes that a watch asks for are
///  no
///    longer stored;
///  - kProtocol: the answer to a call other than a key's write is unreadable;
///  - kUnknownEffect: a write may have taken effect, or may still do so;
///  - kDeadlineExceeded / kConnectionLost: a read got no answer.
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

  /// Reports changes of keys below `prefix` with versions above `after`. An
  /// error ends the watch; its owner starts another after a delay that it
  /// chooses.
  [[nodiscard]] virtual std::unique_ptr<StoreWatch> Watch(
      const std::string& prefix,
      StoreVersion after,
      WatchCallback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_PLATFORM_STORE_H_
