#include "kingcupdrift/store/patch_history.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

void PatchHistory::Add(StoreStatePatch patch) {
  std::deque<StoreStatePatch>& chain = patches_[patch.key];
  if (!chain.empty() && chain.back().version != patch.base) {
    chain.clear();
  }
  chain.push_back(std::move(patch));
  std::size_t bytes = 0;
  for (const StoreStatePatch& it : chain) {
    bytes += it.data.size();
  }
  while (!chain.empty() && bytes > kMaxBytes) {
    bytes -= chain.front().data.size();
    chain.pop_front();
  }
}

std::optional<std::vector<StoreStatePatch>> PatchHistory::FindAfter(
    const std::string& key,
    StoreVersion from) const {
  const auto chain = patches_.find(key);
  if (chain == patches_.end()) {
    return std::nullopt;
  }
  const auto first =
      std::find_if(chain->second.begin(), chain->second.end(),
                   [from](const auto& it) { return it.version > from; });
  if (first == chain->second.end() || first->base > from) {
    return std::nullopt;
  }
  return std::vector<StoreStatePatch>(first, chain->second.end());
}

}  // namespace kingcupdrift
