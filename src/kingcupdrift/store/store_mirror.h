#ifndef KINGCUPDRIFT_STORE_STORE_MIRROR_H_
#define KINGCUPDRIFT_STORE_STORE_MIRROR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// A copy of all values below one prefix of the platform's store, kept up to
/// date by a listing and a watch. While the store cannot be reached the copy
/// stays in use, and a newer copy from a peer may replace it. The copy never
/// goes back to an older version.
class StoreMirror {
 public:
  /// Called for each change of the copy. Changes from a watch come in the order
  /// of their versions. After a listing or a peer's copy, its new values come
  /// in the order of the list with their own versions, then the deletions with
  /// the list's version, or the deleted value's if that is later; changes in
  /// between are skipped.
  using Listener = std::function<void(const StoreEvent&)>;

  StoreMirror(PlatformStore& store,
              Clock& clock,
              Random& random,
              std::string prefix,
              Listener listener);

  void Start();

  /// A listing or a peer's copy has filled this copy at least once.
  bool IsComplete() const { return is_complete_; }
  /// False until the first listing succeeds, and from a failed listing or watch
  /// until the next listing or event of a watch. A watch also fails, with the
  /// store up, when the store no longer has the events since the copy's version
  /// or when the budget refuses the watch.
  bool IsStoreReachable() const { return is_store_reachable_; }
  /// The store is unreachable as in `IsStoreReachable`, or was so less than
  /// `kSettlingTime` ago and this copy was complete before it became reachable;
  /// false right after a first listing that fills an empty copy. Keys under a
  /// lease may then be missing although their owners are running.
  bool IsSettling() const;
  /// Changes up to this version are in the copy.
  StoreVersion version() const { return version_; }
  const std::map<std::string, StoreValue>& items() const { return items_; }

  /// The copy for a peer that has all changes up to `version`: all keys, with
  /// the values that are newer.
  StoreStateReplyMessage StateAfter(StoreVersion version) const;
  /// Replaces this copy by a peer's newer one. Does nothing if the peer's copy
  /// leaves out a value that this copy doesn't have.
  void ApplyPeerState(const StoreStateReplyMessage& state);

  /// Wait after the first failed listing or watch, before jitter of 0.5 to 1.
  /// It doubles with each further failure up to `kMaxBackoff`.
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  /// Limits the calls to an unreachable store to one or two a second from each
  /// entry (serving process), depending on jitter.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(1);
  /// Keys whose leases expired while the store was unreachable are written
  /// again within 2 s of its return, according to the store's operators.
  /// `IsSettling` stays true this long after the store is reachable again.
  static constexpr Duration kSettlingTime = std::chrono::seconds(2);

 private:
  void List();
  void OnListing(Result<StoreListing> listing);
  void ReplaceAll(const StoreListing& listing);
  void Watch();
  void OnEvent(Result<StoreEvent> event);
  void Apply(const StoreEvent& event);
  void RecordSuccess();
  void RetryLater(const Error& error);

  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  std::string prefix_;
  Listener listener_;
  std::map<std::string, StoreValue> items_;
  StoreVersion version_;
  // Version of the last copy taken from a peer; events up to it are in the
  // copy.
  StoreVersion peer_version_;
  bool is_complete_ = false;
  bool is_store_reachable_ = false;
  bool needs_listing_ = true;
  MonotonicTime settled_at_{};
  Duration backoff_{0};
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<Timer> retry_timer_;
  // Expires with this object: callbacks of calls that outlive it do nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_STORE_MIRROR_H_
