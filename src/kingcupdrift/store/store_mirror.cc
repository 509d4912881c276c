#include "kingcupdrift/store/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupdrift {
namespace {

const Logger kLog("store");

}  // namespace

std::string_view GetSourceName(MirrorSource source) {
  switch (source) {
    case MirrorSource::kListing:
      return "listing";
    case MirrorSource::kWatch:
      return "watch";
    case MirrorSource::kPeerChanges:
      return "peer_changes";
    case MirrorSource::kPeerCopy:
      return "peer_copy";
  }
  return "";
}

StoreMirror::StoreMirror(PlatformStore& store,
                         Clock& clock,
                         Random& random,
                         std::string prefix,
                         Listener listener)
    : store_(store),
      clock_(clock),
      random_(random),
      prefix_(std::move(prefix)),
      listener_(std::move(listener)) {}

void StoreMirror::Start() {
  List();
}

void StoreMirror::SetReading(bool is_reading, bool is_known_reachable) {
  if (is_reading == is_reading_) {
    return;
  }
  is_reading_ = is_reading;
  if (!is_complete_) {
    // The first listing goes on.
    return;
  }
  retry_timer_.reset();
  watch_.reset();
  backoff_ = Duration::zero();
  if (!is_reading) {
    return;
  }
  is_store_reachable_ = is_known_reachable;
  last_success_at_ = clock_.Now();
  was_outage_ = false;
  if (needs_listing_) {
    List();
  } else {
    Watch();
  }
}

bool StoreMirror::IsSettling() const {
  if (!is_reading_ || is_applying_peer_state_) {
    return is_peer_settling_;
  }
  return !is_store_reachable_ || clock_.Now() < settled_at_;
}

void StoreMirror::List() {
  is_listing_ = true;
  listing_began_at_ = clock_.Now();
  const std::weak_ptr<bool> alive = lifetime_token_;
  store_.List(prefix_, [this, alive](Result<StoreListing> listing) {
    if (!alive.expired()) {
      OnListing(std::move(listing));
    }
  });
}

void StoreMirror::ListOnce() {
  if (is_reading_ && is_store_reachable_) {
    // The watch brings the changes.
    return;
  }
  if (is_listing_) {
    is_listing_outdated_ = true;
    return;
  }
  retry_timer_.reset();
  watch_.reset();
  List();
}

void StoreMirror::OnListing(Result<StoreListing> listing) {
  is_listing_ = false;
  LogListing(listing);
  if (!listing) {
    was_outage_ = true;
    RetryLater(listing.error());
    return;
  }
  switch (JudgeEra(listing->era)) {
    case EraVerdict::kRejected:
      doubted_era_ = listing->era;
      needs_listing_ = true;
      RetryLater({ErrorCode::kProtocol, MakeEraMismatchText(*listing->era)});
      return;
    case EraVerdict::kNewer:
      RecordSuccess();
      BeginEra(*listing->era, *listing, MirrorSource::kListing);
      break;
    case EraVerdict::kCurrent:
      RecordSuccess();
      if (!listing->era && position_.era > StoreEra() &&
          !std::exchange(has_logged_missing_era_, true)) {
        kLog.Warning(
            "An answer of the store has no readable era; it counts as one of "
            "era {}.",
            position_.era.value());
      }
      // A peer's copy, received meanwhile, may be newer than a delayed listing.
      if (listing->version >= position_.version) {
        ReplaceAll(*listing, MirrorSource::kListing);
      }
      break;
  }
  doubted_era_.reset();
  needs_listing_ = false;
  is_complete_ = true;
  if (is_reading_) {
    Watch();
  } else if (std::exchange(is_listing_outdated_, false)) {
    List();
  }
}

void StoreMirror::LogListing(const Result<StoreListing>& listing) const {
  const std::int64_t ms =
      (clock_.Now() - listing_began_at_) / std::chrono::milliseconds(1);
  if (!listing) {
    kLog.Info("A listing of the store failed after {} ms: {}; {}.", ms,
              listing.error().detail,
              is_reading_ ? "it is repeated" : "it is not repeated");
    return;
  }
  std::size_t bytes = 0;
  for (const StoreEntry& it : listing->entries) {
    bytes += it.value.value.size();
  }
  kLog.Info(
      "Listed the store in {} ms: version {}, {} keys with {} bytes; the local "
      "copy has version {}.",
      ms, listing->version.value(), listing->entries.size(), bytes,
      position_.version.value());
}

std::string StoreMirror::MakeEraMismatchText(StoreEra era) const {
  return "the answer has era " + std::to_string(era.value()) +
         ", and the local copy era " + std::to_string(position_.era.value());
}

bool StoreMirror::IsPlausibleRise(StoreEra era) const {
  return position_.era == StoreEra() ||
         era.value() - position_.era.value() <= kMaxEraRise;
}

StoreMirror::EraVerdict StoreMirror::JudgeEra(
    std::optional<StoreEra> era) const {
  if (!era || *era == position_.era) {
    return EraVerdict::kCurrent;
  }
  if (*era < position_.era) {
    return EraVerdict::kRejected;
  }
  return IsPlausibleRise(*era) || doubted_era_ == era ? EraVerdict::kNewer
                                                      : EraVerdict::kRejected;
}

void StoreMirror::BeginEra(StoreEra era,
                           const StoreListing& listing,
                           MirrorSource source) {
  const StorePosition before = std::exchange(position_, {era, StoreVersion()});
  peer_version_ = StoreVersion();
  has_logged_missing_era_ = false;
  if (!is_complete_) {
    ReplaceAll(listing, source);
    return;
  }
  kLog.Warning(
      "The store was restored from an older copy: era {} with version {}, "
      "before era {} with version {}.",
      era.value(), listing.version.value(), before.era.value(),
      before.version.value());
  settled_at_ = clock_.Now() + kSettlingTime;
  is_peer_settling_ = true;
  ReplaceByRestored(listing, source);
  era_listener_(era);
}

void StoreMirror::ReplaceByRestored(const StoreListing& listing,
                                    MirrorSource source) {
  position_.version = listing.version;
  ForgetRecentChanges();
  std::map<std::string, StoreValue> before = std::exchange(items_, {});
  for (const StoreEntry& it : listing.entries) {
    items_[it.key] = it.value;
  }
  for (const StoreEntry& it : listing.entries) {
    const auto known = before.find(it.key);
    if (known == before.end() || known->second.value != it.value.value) {
      listener_(
          {it.key, it.value, {position_.era, it.value.version}, true, source});
    }
  }
  for (const auto& [key, value] : before) {
    if (!items_.contains(key)) {
      listener_({key, std::nullopt, position_, true, source});
    }
  }
}

void StoreMirror::ReplaceAll(const StoreListing& listing, MirrorSource source) {
  const StoreEra era = position_.era;
  if (!is_complete_) {
    position_.version = listing.version;
    ForgetRecentChanges();
  }
  std::set<std::string> present;
  for (const StoreEntry& it : listing.entries) {
    present.insert(it.key);
    Apply({it.key, it.value, {era, it.value.version}, false, source});
  }
  std::vector<std::string> missing_keys;
  for (const auto& [key, value] : items_) {
    const auto ahead = ahead_.find(key);
    const bool is_newer =
        ahead != ahead_.end() && ahead->second > listing.version;
    if (!present.contains(key) && !is_newer) {
      missing_keys.push_back(key);
    }
  }
  for (const std::string& key : missing_keys) {
    const StoreVersion deleted_at =
        std::max(listing.version, items_[key].version);
    Apply({key, std::nullopt, {era, deleted_at}, false, source});
  }
  Advance(listing.version);
}

void StoreMirror::Watch() {
  watch_ = store_.Watch(
      prefix_, position_.version,
      [this](Result<StoreEvent> event) { OnEvent(std::move(event)); });
}

void StoreMirror::OnEvent(Result<StoreEvent> event) {
  if (!event) {
    // The store may no longer have the events since `position_`, and another
    // watch may be silent too. A listing shows at once whether the store works.
    needs_listing_ = true;
    watch_.reset();
    RetryLater(event.error());
    return;
  }
  const EraVerdict verdict = JudgeEra(event->era);
  if (verdict != EraVerdict::kCurrent) {
    // The versions of this watch are those of another era. Only a listing shows
    // what the store has now.
    const StoreEra era = *event->era;
    watch_.reset();
    if (verdict == EraVerdict::kNewer) {
      ListAgain();
      return;
    }
    needs_listing_ = true;
    RetryLater({ErrorCode::kProtocol, MakeEraMismatchText(era)});
    return;
  }
  RecordSuccess();
  if (!event->key.empty() && event->version > peer_version_) {
    Apply({event->key,
           event->value,
           {position_.era, event->version},
           false,
           MirrorSource::kWatch});
  }
  Advance(event->version);
}

void StoreMirror::Apply(const MirrorEvent& event) {
  const StoreVersion version = event.position.version;
  const auto it = items_.find(event.key);
  const bool is_known = it != items_.end();
  if (is_known && event.value && it->second.version >= version) {
    return;
  }
  const auto ahead = ahead_.find(event.key);
  if (ahead != ahead_.end() && ahead->second > version) {
    return;
  }
  if (!event.value) {
    // The key was already deleted, or a listing brought a value newer than
    // this deletion.
    if (!is_known || it->second.version > version) {
      return;
    }
    items_.erase(it);
    patches_.Forget(event.key);
  } else {
    StoreValue& value = items_[event.key];
    const StoreValue before = std::exchange(value, *event.value);
    RecordPatch(event.key, before, event);
  }
  recent_changes_.emplace_back(version, event.key);
  if (recent_changes_.size() > kMaxRecentChanges) {
    recent_changes_since_ =
        std::max(recent_changes_since_, recent_changes_.front().first);
    recent_changes_.pop_front();
  }
  listener_(event);
}

void StoreMirror::ForgetRecentChanges() {
  patches_.Clear();
  ahead_.clear();
  recent_changes_.clear();
  recent_changes_since_ = position_.version;
}

void StoreMirror::RecordSuccess() {
  const MonotonicTime now = clock_.Now();
  backoff_ = Duration::zero();
  const bool was_outage =
      std::exchange(was_outage_, false) || now - last_success_at_ >= kMinOutage;
  last_success_at_ = now;
  if (is_store_reachable_) {
    return;
  }
  is_store_reachable_ = true;
  if (is_complete_ && was_outage) {
    settled_at_ = now + kSettlingTime;
  }
  kLog.Info(
      "The store is reachable; before this update the local copy had "
      "version {}.",
      position_.version.value());
  reachability_listener_();
}

void StoreMirror::RetryLater(const Error& error) {
  if (!is_reading_ && is_complete_) {
    return;
  }
  if (is_store_reachable_) {
    kLog.Warning(
        "A listing or watch of the store failed: {} ({}); the local copy of "
        "version {} stays in use.",
        error.detail, GetErrorCodeName(error.code), position_.version.value());
  }
  const bool was_reachable = std::exchange(is_store_reachable_, false);
  backoff_ = std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
  // The jitter keeps entries that failed together from retrying together.
  const double jitter = 0.5 + random_.NextDouble() / 2;
  const auto delay = std::chrono::duration_cast<Duration>(backoff_ * jitter);
  retry_timer_ = clock_.RunAfter(delay, [this] {
    if (needs_listing_) {
      List();
    } else {
      Watch();
    }
  });
  if (was_reachable) {
    reachability_listener_();
  }
}

void StoreMirror::ListAgain() {
  needs_listing_ = true;
  if (!is_reading_) {
    return;
  }
  // Without the jitter hundreds of entries would list in the same instant.
  const auto delay =
      std::chrono::duration_cast<Duration>(kMinBackoff * random_.NextDouble());
  retry_timer_ = clock_.RunAfter(delay, [this] { List(); });
}

}  // namespace kingcupdrift
