// How a mirror exchanges its copy with peers.

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "kingcupdrift/store/store_mirror.h"
#include "kingcupdrift/store/value_patch.h"

namespace kingcupdrift {
namespace {

const Logger kLog("store");

}  // namespace

StoreStateReplyMessage StoreMirror::StateAfter(
    const StorePosition& position) const {
  const bool is_same_era = position.era == position_.era;
  StoreStateReplyMessage state;
  state.position = position_;
  state.is_settling = IsSettling();
  for (const auto& [key, value] : items_) {
    StoreStateItem item;
    item.key = key;
    item.version = value.version;
    if (!is_same_era || value.version > position.version) {
      item.value = value.value;
    }
    state.items.push_back(std::move(item));
  }
  return state;
}

std::optional<StoreStateReplyMessage> StoreMirror::ChangesAfter(
    const StorePosition& position,
    bool with_patches) const {
  if (!is_complete_ || position.era != position_.era ||
      position.version < recent_changes_since_) {
    return std::nullopt;
  }
  std::map<std::string, StoreVersion> changed;
  for (const auto& [version, key] : recent_changes_) {
    if (version > position.version) {
      changed[key] = version;
    }
  }
  StoreStateReplyMessage state;
  state.position = position_;
  state.changes_after = position;
  state.is_settling = IsSettling();
  for (const auto& [key, version] : changed) {
    const auto it = items_.find(key);
    if (it == items_.end()) {
      state.items.push_back({key, version, std::nullopt});
      continue;
    }
    std::optional<std::vector<StoreStatePatch>> patches;
    if (with_patches) {
      patches = patches_.FindAfter(key, position.version);
    }
    if (patches) {
      std::move(patches->begin(), patches->end(),
                std::back_inserter(state.patches));
    } else {
      state.items.push_back({key, it->second.version, it->second.value});
    }
  }
  return state;
}

StoreStateReplyMessage StoreMirror::MakeChangeNotice() const {
  StoreStateReplyMessage state;
  state.position = position_;
  state.changes_after = position_;
  state.is_settling = IsSettling();
  return state;
}

void StoreMirror::Advance(StoreVersion version) {
  position_.version = std::max(position_.version, version);
  std::erase_if(ahead_, [this](const auto& it) {
    return it.second <= position_.version;
  });
}

PeerStateResult StoreMirror::ApplyPeerChanges(
    const StoreStateReplyMessage& state) {
  if (state.position.era != position_.era || !is_complete_) {
    return PeerStateResult::kGap;
  }
  const bool has_gap =
      state.has_omissions || state.changes_after->version > position_.version;
  is_peer_settling_ = state.is_settling;
  for (const StoreStateItem& it : state.items) {
    std::optional<StoreValue> value;
    if (it.value) {
      value = StoreValue{*it.value, it.version};
    }
    const MirrorEvent event{it.key,
                            std::move(value),
                            {position_.era, it.version},
                            false,
                            MirrorSource::kPeerChanges};
    ApplyPeerChange(event, has_gap);
  }
  const bool is_patched = ApplyPatches(state.patches, has_gap);
  if (state.has_omissions) {
    ListOnce();
    return PeerStateResult::kApplied;
  }
  if (!is_patched) {
    return PeerStateResult::kWrongPatch;
  }
  if (has_gap) {
    return PeerStateResult::kGap;
  }
  Advance(state.position.version);
  peer_version_ = state.position.version;
  return PeerStateResult::kApplied;
}

void StoreMirror::ApplyPeerChange(const MirrorEvent& event, bool has_gap) {
  const StoreVersion version = event.position.version;
  if (version <= position_.version) {
    return;
  }
  if (has_gap && !ahead_.contains(event.key) &&
      ahead_.size() >= kMaxRecentChanges) {
    return;
  }
  // Without a gap, the position follows unless a patch does not apply.
  StoreVersion& applied = ahead_[event.key];
  applied = std::max(applied, version);
  Apply(event);
}

void StoreMirror::RecordPatch(const std::string& key,
                              const StoreValue& before,
                              const MirrorEvent& event) {
  if (event.patch) {
    patches_.Add(*event.patch);
    return;
  }
  const std::string& value = event.value->value;
  // Only readers send changes to all others, and have every version.
  if (event.source == MirrorSource::kWatch && before.version > StoreVersion() &&
      value.size() >= kMinPatchedBytes) {
    if (auto patch = MakeValuePatch(before.value, value)) {
      patches_.Add(
          {key, before.version, event.position.version, *std::move(patch)});
      return;
    }
  }
  patches_.Forget(key);
}

void LeaveOutLargeChanges(StoreStateReplyMessage& changes) {
  std::erase_if(changes.items, [](const StoreStateItem& it) {
    return it.value && it.value->size() >= kMinPatchedBytes;
  });
  std::erase_if(changes.patches, [](const StoreStatePatch& it) {
    return it.data.size() >= kMinPatchedBytes;
  });
  changes.has_omissions = true;
}

bool StoreMirror::ApplyPatches(const std::vector<StoreStatePatch>& patches,
                               bool has_gap) {
  for (const StoreStatePatch& patch : patches) {
    const auto known = items_.find(patch.key);
    if (known != items_.end() && known->second.version >= patch.version) {
      continue;
    }
    std::optional<std::string> value;
    if (known != items_.end() && known->second.version == patch.base) {
      value = ApplyValuePatch(known->second.value, patch.data);
    }
    if (!value) {
      return false;
    }
    MirrorEvent event{patch.key,
                      StoreValue{*std::move(value), patch.version},
                      {position_.era, patch.version},
                      false,
                      MirrorSource::kPeerChanges,
                      patch};
    ApplyPeerChange(event, has_gap);
  }
  return true;
}

PeerStateResult StoreMirror::ApplyPeerState(
    const StoreStateReplyMessage& state) {
  is_applying_peer_state_ = true;
  const PeerStateResult result = ApplyPeerContents(state);
  is_applying_peer_state_ = false;
  return result;
}

PeerStateResult StoreMirror::ApplyPeerContents(
    const StoreStateReplyMessage& state) {
  if (state.position <= position_) {
    return PeerStateResult::kApplied;
  }
  if (state.changes_after && state.items.empty() && state.patches.empty()) {
    is_peer_settling_ = state.is_settling;
    ListOnce();
    return PeerStateResult::kApplied;
  }
  if (state.changes_after) {
    return ApplyPeerChanges(state);
  }
  const bool is_newer_era = state.position.era > position_.era;
  if (is_newer_era && !IsPlausibleRise(state.position.era)) {
    kLog.Warning(
        "Ignored a peer's copy of the store: its era {} is too far above the "
        "local era {}.",
        state.position.era.value(), position_.era.value());
    return PeerStateResult::kApplied;
  }
  StoreListing listing;
  listing.version = state.position.version;
  for (const StoreStateItem& it : state.items) {
    const auto known = items_.find(it.key);
    if (it.value) {
      listing.entries.push_back({it.key, {*it.value, it.version}});
    } else if (!is_newer_era && known != items_.end()) {
      listing.entries.push_back({it.key, known->second});
    } else {
      kLog.Warning(
          "Ignored a peer's copy of the store: it has no value for key "
          "{}, and neither has the local copy.",
          it.key);
      return PeerStateResult::kApplied;
    }
  }
  kLog.Info(
      "Replaced the local copy of the store by a peer's: era {}, version {}, "
      "before era {}, version {}.",
      state.position.era.value(), state.position.version.value(),
      position_.era.value(), position_.version.value());
  if (is_newer_era) {
    BeginEra(state.position.era, listing, MirrorSource::kPeerCopy);
    // A running watch began at a version of the older era.
    watch_.reset();
    ListAgain();
  } else {
    is_peer_settling_ = state.is_settling;
    ReplaceAll(listing, MirrorSource::kPeerCopy);
  }
  peer_version_ = state.position.version;
  is_complete_ = true;
  return PeerStateResult::kApplied;
}

}  // namespace kingcupdrift
