#ifndef KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_
#define KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_

#include <cstddef>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A part of a prompt that an engine had begun to answer, or had yet to, when
/// the engine ended.
struct SuspectPart {
  PromptPartId part;
  /// Index among the prompt's parts.
  std::size_t position = 0;

  friend bool operator==(const SuspectPart&, const SuspectPart&) = default;
};

/// The end of an engine's process that interrupted prompts.
struct EngineCrash {
  EngineId engine;
  /// As in `EngineAddress`.
  Incarnation incarnation;
  /// Time since the crash.
  Duration age{0};
  /// Shared parts of the prompts that it interrupted.
  std::vector<SuspectPart> suspects;
};

/// An engine answered a prompt with this part.
struct PromptPartSuccess {
  PromptPartId part;
  /// Time since the success.
  Duration age{0};
};

/// What entries (serving processes) tell each other about parts of prompts that
/// may crash engines.
struct CrashEvidence {
  std::vector<EngineCrash> crashes;
  std::vector<PromptPartSuccess> successes;

  bool empty() const { return crashes.empty() && successes.empty(); }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CRASH_EVIDENCE_H_
