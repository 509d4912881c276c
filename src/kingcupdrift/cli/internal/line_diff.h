#ifndef KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_
#define KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_

#include <string>
#include <string_view>

#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// Lines of `after` that `before` lacks, behind '+', and the other way round,
/// behind '-', with a line "@@ N" for the place in `before`. Empty when equal.
std::string DiffLines(std::string_view before, std::string_view after);

/// The same for each document that differs, behind its name.
std::string DiffDocuments(const ConfigDocuments& before,
                          const ConfigDocuments& after);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_LINE_DIFF_H_
