#ifndef KINGCUPDRIFT_NET_ENTRY_PROCESS_H_
#define KINGCUPDRIFT_NET_ENTRY_PROCESS_H_

#include "kingcupdrift/entry/entry.h"

namespace kingcupdrift {

/// Exit codes of `RunEntryProcess`.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitCannotListen = 3;
inline constexpr int kExitDrainLimit = 4;

/// Runs one entry, the serving process of an instance, until SIGTERM or SIGINT,
/// then drains it. Returns the process's exit code: kExitDrainLimit if requests
/// or responses were unfinished at the drain limit.
int RunEntryProcess(const EntrySettings& settings);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_ENTRY_PROCESS_H_
