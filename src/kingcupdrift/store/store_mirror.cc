#include "kingcupdrift/store/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupdrift {
namespace {

const Logger kLog("store");

}  // namespace

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

bool StoreMirror::IsSettling() const {
  return !is_store_reachable_ || clock_.Now() < settled_at_;
}

void StoreMirror::List() {
  const std::weak_ptr<bool> alive = lifetime_token_;
  store_.List(prefix_, [this, alive](Result<StoreListing> listing) {
    if (!alive.expired()) {
      OnListing(std::move(listing));
    }
  });
}

void StoreMirror::OnListing(Result<StoreListing> listing) {
  if (!listing) {
    RetryLater(listing.error());
    return;
  }
  RecordSuccess();
  needs_listing_ = false;
  // A peer's copy, received meanwhile, may be newer than a delayed listing.
  if (listing->version >= version_) {
    ReplaceAll(*listing);
  }
  is_complete_ = true;
  Watch();
}

void StoreMirror::ReplaceAll(const StoreListing& listing) {
  std::set<std::string> present;
  for (const StoreEntry& it : listing.entries) {
    present.insert(it.key);
    Apply({it.key, it.value, it.value.version});
  }
  std::vector<std::string> missing_keys;
  for (const auto& [key, value] : items_) {
    if (!present.contains(key)) {
      missing_keys.push_back(key);
    }
  }
  for (const std::string& key : missing_keys) {
    Apply({key, std::nullopt, std::max(listing.version, items_[key].version)});
  }
  version_ = std::max(version_, listing.version);
}

void StoreMirror::Watch() {
  watch_ = store_.Watch(prefix_, version_, [this](Result<StoreEvent> event) {
    OnEvent(std::move(event));
  });
}

void StoreMirror::OnEvent(Result<StoreEvent> event) {
  if (!event) {
    // The store no longer keeps the events since `version_`, so list again.
    // After other errors a new watch is enough.
    needs_listing_ = event.error().code == ErrorCode::kNotFound;
    watch_.reset();
    RetryLater(event.error());
    return;
  }
  RecordSuccess();
  if (!event->key.empty() && event->version > peer_version_) {
    Apply(*event);
  }
  version_ = std::max(version_, event->version);
}

void StoreMirror::Apply(const StoreEvent& event) {
  const auto it = items_.find(event.key);
  const bool is_known = it != items_.end();
  if (is_known && event.value && it->second.version >= event.version) {
    return;
  }
  if (!event.value) {
    // The key was already deleted, or a listing brought a value newer than
    // this deletion.
    if (!is_known || it->second.version > event.version) {
      return;
    }
    items_.erase(it);
  } else {
    items_[event.key] = *event.value;
  }
  listener_(event);
}

void StoreMirror::RecordSuccess() {
  backoff_ = Duration::zero();
  if (is_store_reachable_) {
    return;
  }
  is_store_reachable_ = true;
  if (is_complete_) {
    settled_at_ = clock_.Now() + kSettlingTime;
  }
  kLog.Info(
      "The store is reachable; before this update the local copy had "
      "version {}.",
      version_.value());
}

void StoreMirror::RetryLater(const Error& error) {
  if (is_store_reachable_) {
    kLog.Warning(
        "A listing or watch of the store failed: {} ({}); the local copy of "
        "version {} stays in use.",
        error.detail, GetErrorCodeName(error.code), version_.value());
  }
  is_store_reachable_ = false;
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
}

StoreStateReplyMessage StoreMirror::StateAfter(StoreVersion version) const {
  StoreStateReplyMessage state;
  state.version = version_;
  for (const auto& [key, value] : items_) {
    StoreStateItem item;
    item.key = key;
    item.version = value.version;
    if (value.version > version) {
      item.value = value.value;
    }
    state.items.push_back(std::move(item));
  }
  return state;
}

void StoreMirror::ApplyPeerState(const StoreStateReplyMessage& state) {
  if (state.version <= version_) {
    return;
  }
  StoreListing listing;
  listing.version = state.version;
  for (const StoreStateItem& it : state.items) {
    const auto known = items_.find(it.key);
    if (it.value) {
      listing.entries.push_back({it.key, {*it.value, it.version}});
    } else if (known != items_.end()) {
      listing.entries.push_back({it.key, known->second});
    } else {
      kLog.Warning(
          "Ignored a peer's copy of the store: it has no value for key "
          "{}, and neither has the local copy.",
          it.key);
      return;
    }
  }
  kLog.Info(
      "Replaced the local copy of the store by a peer's: version {}, "
      "before {}.",
      state.version.value(), version_.value());
  ReplaceAll(listing);
  peer_version_ = state.version;
  is_complete_ = true;
}

}  // namespace kingcupdrift
