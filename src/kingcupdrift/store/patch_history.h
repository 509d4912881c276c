#ifndef KINGCUPDRIFT_STORE_PATCH_HISTORY_H_
#define KINGCUPDRIFT_STORE_PATCH_HISTORY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Patches between the last versions of the large values of a store, for peers
/// that have one of these versions. Takes at most `kMaxBytes` a key.
class PatchHistory {
 public:
  /// Adds the patch that leads from the key's last version to `patch.version`.
  /// Earlier ones of the key are forgotten if they do not lead to its base.
  void Add(StoreStatePatch patch);
  /// The key was deleted, or changed without a patch.
  void Forget(const std::string& key) { patches_.erase(key); }
  void Clear() { patches_.clear(); }

  /// The patches that lead to the latest version of `key` from the one that a
  /// copy of the store of version `from` has. Absent if one is missing.
  std::optional<std::vector<StoreStatePatch>> FindAfter(
      const std::string& key,
      StoreVersion from) const;

  static constexpr std::size_t kMaxBytes = 64'000;

 private:
  std::map<std::string, std::deque<StoreStatePatch>> patches_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_PATCH_HISTORY_H_
