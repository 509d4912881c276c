#ifndef KINGCUPDRIFT_BASE_RENDEZVOUS_H_
#define KINGCUPDRIFT_BASE_RENDEZVOUS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcupdrift/base/digest.h"
#include "kingcupdrift/base/strong_id.h"

namespace kingcupdrift {

/// Weight of `member` for `key` in rendezvous hashing; the member with the
/// highest weight owns the key. All processes compute the same weight.
inline std::uint64_t RendezvousWeight(std::string_view key,
                                      std::string_view member) {
  return FastHash(member, FastHash(key));
}

/// Returns the `count` members with the highest weight for `key`, highest
/// first. Adding or removing one member changes the result only for keys that
/// have this member among their first `count`.
template <typename Tag>
std::vector<StrongId<Tag>> SelectRendezvousMembers(
    std::string_view key,
    const std::vector<StrongId<Tag>>& members,
    std::size_t count) {
  std::vector<std::pair<std::uint64_t, StrongId<Tag>>> ranked;
  ranked.reserve(members.size());
  for (const StrongId<Tag>& it : members) {
    ranked.emplace_back(RendezvousWeight(key, it.value()), it);
  }
  const std::size_t n = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end(), std::greater<>());
  std::vector<StrongId<Tag>> top;
  top.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    top.push_back(ranked[i].second);
  }
  return top;
}

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_RENDEZVOUS_H_
