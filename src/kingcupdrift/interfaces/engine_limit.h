#ifndef KINGCUPDRIFT_INTERFACES_ENGINE_LIMIT_H_
#define KINGCUPDRIFT_INTERFACES_ENGINE_LIMIT_H_

#include <optional>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// What an engine's process last said about the requests that it takes.
struct EngineLimit {
  EngineId engine;
  /// As in `EngineAddress`.
  Incarnation incarnation;
  /// Limit of the requests from all callers together; absent without a limit.
  std::optional<double> requests_per_second;
  /// Time since the engine said so.
  Duration age{0};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_ENGINE_LIMIT_H_
