#ifndef KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_
#define KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/serving_config.h"

namespace kingcupdrift {

/// Index of one configuration's routes by host and longest prefix.
class RouteTable {
 public:
  explicit RouteTable(ServingConfig config);

  const ServingConfig& config() const { return config_; }
  /// Requests for the service can have different priorities; see
  /// `HasDifferingPriorities`.
  bool HasPriorities(const ServiceId& service) const {
    return services_with_priorities_.contains(service);
  }

  /// The route of `host` with the longest prefix of the path in
  /// `path_and_query`. Prefixes match whole segments and end with a slash: the
  /// path /a/b is not below the prefix /a/b/. Hosts are compared exactly. Null
  /// if no route matches.
  const RouteRule* Find(const std::string& host,
                        std::string_view path_and_query) const;

  /// Chooses a service of `route` at random, by weight.
  static const ServiceId& ChooseService(const RouteRule& route, Random& random);

 private:
  ServingConfig config_;
  std::set<ServiceId> services_with_priorities_;
  // Host to prefix to position in `config_.routes`.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>>
      by_host_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_
