#ifndef KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_
#define KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Work that an engine had begun to answer, or had yet to, when the engine
/// ended.
struct SuspectWork {
  WorkKey key;
  /// Index among the prompt's parts; after them for a request's own key.
  std::size_t position = 0;

  friend bool operator==(const SuspectWork&, const SuspectWork&) = default;
};

/// The end of an engine's process that interrupted requests.
struct EngineCrash {
  EngineId engine;
  /// As in `EngineAddress`.
  Incarnation incarnation;
  /// Time since the crash.
  Duration age{0};
  /// Keys of the requests that it interrupted and of the shared parts of their
  /// prompts.
  std::vector<SuspectWork> suspects;
};

/// An engine answered work with this key.
struct WorkSuccess {
  WorkKey key;
  /// Time since the success.
  Duration age{0};
};

/// An engine's process answered on a new connection, so that it had not ended
/// before.
struct EngineSurvival {
  EngineId engine;
  Incarnation incarnation;
  /// Time since the connection was opened.
  Duration age{0};
};

/// What entries (serving processes) tell each other about work that may crash
/// engines.
struct CrashEvidence {
  std::vector<EngineCrash> crashes;
  std::vector<WorkSuccess> successes;
  /// Of engines that were reported as crashed.
  std::vector<EngineSurvival> survivals = {};

  bool empty() const {
    return crashes.empty() && successes.empty() && survivals.empty();
  }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_
