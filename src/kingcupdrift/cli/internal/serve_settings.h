#ifndef KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_
#define KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/entry_settings.h"

namespace kingcupdrift::internal {

/// Builds the settings of `serve` from its flags. Errors: kInvalidArgument when
/// a required flag is not set or two contradict each other.
Result<EntrySettings> BuildServeSettings();

/// The level of --log_level.
LogLevel GetLogLevelFlag();

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_SERVE_SETTINGS_H_
