#ifndef KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_
#define KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_

#include <string>
#include <string_view>

#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// Lists lines removed from `before` after '-' and lines added in `after` after
/// '+'. A line "@@ N" before each group gives its line number in `before`.
/// A missing line end of the last line is not shown. For large texts, only
/// lines that occur in just one text are listed: moved and repeated lines are
/// left out, and groups of added lines are numbered by `after`, except that the
/// first one has no "@@ N" line if it directly follows a removed last line.
std::string DiffLines(std::string_view before, std::string_view after);

/// The same for each document that differs, after a line "--- NAME".
std::string DiffDocuments(const ConfigDocuments& before,
                          const ConfigDocuments& after);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_
