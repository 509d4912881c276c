#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_CALLER_LOOKUP_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_CALLER_LOOKUP_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The plain service that one call goes to.
struct PlainRoute {
  const ServiceConfig* service = nullptr;
  bool is_non_idempotent = false;
};

/// Finds the workspace and the service of a call in the configuration.
class CallerLookup {
 public:
  /// Keeps a reference: `config` must stay valid until the next ApplyConfig.
  void ApplyConfig(const SiteConfig& config);

  /// Null if no workspace has this token.
  const WorkspaceConfig* FindWorkspace(std::string_view token) const;
  /// Finds the service that serves the model of this name. Null if none does.
  const ServiceConfig* FindServiceOfModel(const std::string& model) const;
  /// Selects the plain service with the longest matching path prefix. `method`
  /// only decides if the call is non-idempotent. Errors: kInvalidArgument for a
  /// malformed path (see DecodePath), which could hide that a call is
  /// non-idempotent; kNotFound if no service has the path.
  Result<PlainRoute> FindPlainService(std::string_view method,
                                      std::string_view target) const;

 private:
  const SiteConfig* config_ = nullptr;
  std::unordered_map<std::string, const WorkspaceConfig*> by_token_digest_;
  std::unordered_map<std::string, const ServiceConfig*> by_model_;
};

/// Decodes the path of a request target, without query and fragment.
/// kInvalidArgument for a path that does not start with a slash, bad escapes,
/// escaped slashes, backslashes, control characters, dot segments, and empty
/// segments other than the last.
Result<std::string> DecodePath(std::string_view target);

/// True if `path` equals `prefix` or lies below it.
bool IsPathBelow(std::string_view path, std::string_view prefix);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_CALLER_LOOKUP_H_
