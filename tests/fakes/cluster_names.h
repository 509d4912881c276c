#ifndef TESTS_FAKES_CLUSTER_NAMES_H_
#define TESTS_FAKES_CLUSTER_NAMES_H_

#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Names in a cluster's configuration.
inline constexpr char kSiteName[] = "site";
inline constexpr char kModelName[] = "m";
inline constexpr char kWorkspaceToken[] = "workspace-token";
inline constexpr char kOrderTarget[] = "/shop/orders";

/// "a", "b", ...
inline std::string EntryName(int index) {
  return std::string(1, static_cast<char>('a' + index));
}
/// "e1", "e2", ...
inline EngineId EngineName(int index) {
  return EngineId("e" + std::to_string(index + 1));
}
/// "p1", "p2", ...
inline EngineId ServiceName(int index) {
  return EngineId("p" + std::to_string(index + 1));
}

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_NAMES_H_
