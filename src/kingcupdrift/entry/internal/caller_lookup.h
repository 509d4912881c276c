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

/// A plain service's route for one call.
struct PlainRoute {
  const ServiceConfig* service = nullptr;
  bool is_non_idempotent = false;
};

/// Finds the workspace and the service of a call in the configuration.
class CallerLookup {
 public:
  /// Keeps a reference: `config` must live until the next call.
  void ApplyConfig(const SiteConfig& config);

  /// Null if no workspace has this token.
  const WorkspaceConfig* FindWorkspace(std::string_view token) const;
  /// Null if no model service has this name.
  const ServiceConfig* FindModel(const std::string& model) const;
  /// kInvalidArgument for a path that could be read in two ways, which might
  /// hide that a call is non-idempotent; kNotFound if no service has the path.
  Result<PlainRoute> FindPlain(std::string_view method,
                               std::string_view target) const;

 private:
  const SiteConfig* config_ = nullptr;
  std::unordered_map<std::string, const WorkspaceConfig*> by_token_digest_;
  std::unordered_map<std::string, const ServiceConfig*> by_model_;
};

/// Decodes the path of a request target. kInvalidArgument for bad escapes,
/// empty or dot segments, and control characters.
Result<std::string> DecodePath(std::string_view target);

/// Whether `path` is `prefix` or lies below it.
bool IsPathBelow(std::string_view path, std::string_view prefix);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_CALLER_LOOKUP_H_
