#ifndef KINGCUPDRIFT_STORE_STORE_MIRROR_H_
#define KINGCUPDRIFT_STORE_STORE_MIRROR_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/store/patch_history.h"

namespace kingcupdrift {

/// How a change reached a mirror.
enum class MirrorSource { kListing, kWatch, kPeerChanges, kPeerCopy };

/// The source's name in logs.
std::string_view GetSourceName(MirrorSource source);

/// Whether a peer's state has brought a mirror up to the peer's position.
enum class PeerStateResult {
  kApplied,
  /// Changes before those of the peer are missing.
  kGap,
  /// A patch was made for a version that the mirror does not have.
  kWrongPatch,
};

/// A change of a mirror's copy.
struct MirrorEvent {
  std::string key;
  /// Absent if the key was deleted.
  std::optional<StoreValue> value;
  StorePosition position;
  /// The store was restored from an older copy of its contents. The value may
  /// be older than those reported before, and a deleted key may only be missing
  /// from that copy.
  bool is_restored = false;
  MirrorSource source = MirrorSource::kListing;
  /// The value came as this patch to the copy's value.
  std::optional<StoreStatePatch> patch = std::nullopt;
};

/// Leaves values and patches of `kMinPatchedBytes` and more out of changes.
void LeaveOutLargeChanges(StoreStateReplyMessage& changes);

/// A copy of all values below one prefix of the platform's store, kept up to
/// date by a listing and a watch. While the store cannot be reached the copy
/// stays in use, and a newer copy from a peer may replace it. The copy goes
/// back to older values only when the store itself does, which a higher era
/// shows.
///
/// An answer without an era counts as one of the copy's era. An answer of a
/// lower era is discarded and the call repeated. So is an answer with an era
/// more than `kMaxEraRise` higher, unless the next listing repeats that era.
class StoreMirror {
 public:
  /// Called for each change of the copy. Changes from a watch come in the order
  /// of their versions. After a listing or a peer's copy, its new values come
  /// in the order of the list with their own versions, then the deletions with
  /// the list's version, or the deleted value's if that is later; changes in
  /// between are skipped.
  using Listener = std::function<void(const MirrorEvent&)>;
  /// Called when a complete copy was replaced because of a higher era, after
  /// the changes were reported.
  using EraListener = std::function<void(StoreEra)>;

  StoreMirror(PlatformStore& store,
              Clock& clock,
              Random& random,
              std::string prefix,
              Listener listener);

  /// Lists the store until that succeeds, also if this copy is not to read it.
  void Start();
  /// Whether this copy reads the store with a watch of its own, as it does at
  /// first. Otherwise it changes by `ApplyPeerState` alone.
  /// `is_known_reachable`: a peer reads the store now, so that nothing was
  /// missed; only used when reading begins.
  void SetReading(bool is_reading, bool is_known_reachable);
  bool is_reading() const { return is_reading_; }
  void SetEraListener(EraListener listener) {
    era_listener_ = std::move(listener);
  }
  /// `listener` is called when a call makes `IsStoreReachable` true or false.
  void SetReachabilityListener(std::function<void()> listener) {
    reachability_listener_ = std::move(listener);
  }

  /// A listing or a peer's copy has filled this copy at least once.
  bool IsComplete() const { return is_complete_; }
  /// False while this copy does not read the store, until the first listing
  /// succeeds, and from a failed listing or watch
  /// until the next listing or event of a watch. A watch also fails, with the
  /// store up, when the store no longer has the events since the copy's version
  /// or when the budget refuses the watch.
  bool IsStoreReachable() const { return is_reading_ && is_store_reachable_; }
  /// Keys under a lease may be missing although their owners are running: the
  /// store is unreachable as in `IsStoreReachable`; or an outage ended less
  /// than `kSettlingTime` ago, and this copy was complete before; or the
  /// store's era changed less than `kSettlingTime` ago. An outage is a failed
  /// listing, or `kMinOutage` without an answer: a watch alone also fails while
  /// the store works. For changes from a peer, and for a copy that does not
  /// read the store: what the peer said of its copy.
  bool IsSettling() const;
  /// A listing is in progress, and nothing says that the store is out of reach.
  bool IsListing() const {
    return is_listing_ && (!is_reading_ || is_store_reachable_);
  }
  /// Changes up to this position are in the copy. The era is 0 until an answer
  /// of the store or a peer's copy has one.
  const StorePosition& position() const { return position_; }
  StoreVersion version() const { return position_.version; }
  const std::map<std::string, StoreValue>& items() const { return items_; }

  /// The copy for a peer that has all changes up to `position`: all keys, with
  /// the values that are newer, or with all values if `position` is of another
  /// era.
  StoreStateReplyMessage StateAfter(const StorePosition& position) const;
  /// The changes after `position`; absent if it is of another era, or older
  /// than the last `kMaxRecentChanges` changes. `with_patches`: large values
  /// are patches where this copy has them.
  std::optional<StoreStateReplyMessage> ChangesAfter(
      const StorePosition& position,
      bool with_patches) const;
  /// Says that there are changes up to the present position, without them: a
  /// copy that applies it lists the store once.
  StoreStateReplyMessage MakeChangeNotice() const;
  /// Replaces this copy by a peer's newer one, or applies its newer changes.
  /// Does nothing if the peer's copy leaves out a value that this copy doesn't
  /// have, or if its era is more than `kMaxEraRise` higher.
  ///
  /// If changes are missing before the peer's, or a patch does not apply, the
  /// result says which, and the peer has to be asked. The other changes are
  /// applied all the same, so that none waits for another; `position` stays.
  PeerStateResult ApplyPeerState(const StoreStateReplyMessage& state);

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
  /// Owners write their keys again at least three times before a lease expires,
  /// so that none expires for want of a shorter outage.
  static constexpr Duration kMinOutage = std::chrono::seconds(2);
  /// Eras rise by one; a process may miss some of them while it is frozen or
  /// cut off. A larger rise is more likely a damaged answer.
  static constexpr std::int64_t kMaxEraRise = 1000;
  /// Only keys and versions are kept. More than the changes of some seconds.
  /// Also limits the changes that are applied before earlier ones.
  static constexpr std::size_t kMaxRecentChanges = 2000;

 private:
  enum class EraVerdict { kCurrent, kNewer, kRejected };

  void List();
  void OnListing(Result<StoreListing> listing);
  void LogListing(const Result<StoreListing>& listing) const;
  void ReplaceAll(const StoreListing& listing, MirrorSource source);
  void Watch();
  void OnEvent(Result<StoreEvent> event);
  void Apply(const MirrorEvent& event);
  PeerStateResult ApplyPeerChanges(const StoreStateReplyMessage& state);
  /// `has_gap`: changes before this one are missing.
  void ApplyPeerChange(const MirrorEvent& event, bool has_gap);
  /// False if a patch does not apply; the later ones are then left out.
  bool ApplyPatches(const std::vector<StoreStatePatch>& patches, bool has_gap);
  /// Moves the position forward, never back.
  void Advance(StoreVersion version);
  /// Keeps a patch to the value that replaces `before`, for peers.
  void RecordPatch(const std::string& key,
                   const StoreValue& before,
                   const MirrorEvent& event);
  /// Lists the store now, since a peer has newer contents: without a watch that
  /// works, and once more if a listing is in progress. A copy that does not
  /// read the store does not repeat a failed listing.
  void ListOnce();
  /// Nothing is known of the changes before the present position.
  void ForgetRecentChanges();
  PeerStateResult ApplyPeerContents(const StoreStateReplyMessage& state);
  void RecordSuccess();
  void RetryLater(const Error& error);
  /// Lists the store again after a part of `kMinBackoff`, drawn at random.
  void ListAgain();
  std::string MakeEraMismatchText(StoreEra era) const;
  bool IsPlausibleRise(StoreEra era) const;
  EraVerdict JudgeEra(std::optional<StoreEra> era) const;
  /// Replaces the copy by the first one of a higher era.
  void BeginEra(StoreEra era, const StoreListing& listing, MirrorSource source);
  void ReplaceByRestored(const StoreListing& listing, MirrorSource source);

  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  std::string prefix_;
  Listener listener_;
  std::map<std::string, StoreValue> items_;
  StorePosition position_;
  // Keys in the order in which they changed, and the position from which on the
  // list is complete.
  std::deque<std::pair<StoreVersion, std::string>> recent_changes_;
  StoreVersion recent_changes_since_;
  PatchHistory patches_;
  // Keys whose change was applied before all changes up to it were, and the
  // change's version.
  std::map<std::string, StoreVersion> ahead_;
  EraListener era_listener_ = [](StoreEra) {};
  std::function<void()> reachability_listener_ = [] {};
  // Implausible era of the last listing; accepted if the next one has it too.
  std::optional<StoreEra> doubted_era_;
  bool has_logged_missing_era_ = false;
  // Version of the last copy taken from a peer in this era; events up to it are
  // in the copy.
  StoreVersion peer_version_;
  bool is_complete_ = false;
  bool is_reading_ = true;
  bool is_peer_settling_ = false;
  bool is_applying_peer_state_ = false;
  // A listing failed since the last success.
  bool was_outage_ = false;
  MonotonicTime last_success_at_{};
  bool is_store_reachable_ = false;
  bool needs_listing_ = true;
  bool is_listing_ = false;
  MonotonicTime listing_began_at_{};
  bool is_listing_outdated_ = false;
  MonotonicTime settled_at_{};
  Duration backoff_{0};
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<Timer> retry_timer_;
  // Expires with this object: callbacks of calls that outlive it do nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_STORE_MIRROR_H_
