#ifndef KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_
#define KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/entry_settings.h"

namespace kingcupdrift::internal {

/// Builds the settings of `serve` from the flags that are set. Errors:
/// kInvalidArgument if a required flag is not set, or two of --listen,
/// --peer_listen and --store name the same address.
Result<EntrySettings> BuildServeSettings();

/// Returns the log level that --log_level names.
LogLevel GetLogLevelFlag();

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_
