#ifndef KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_
#define KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/serving_config.h"

namespace kingcupdrift {

/// Index of one configuration: finds routes by host and longest prefix, and
/// workspaces by key.
class RouteTable {
 public:
  explicit RouteTable(ServingConfig config);

  const ServingConfig& config() const { return config_; }

  /// The route of `host` with the longest prefix that begins the path of
  /// `target`; null without one.
  const RouteRule* Find(const std::string& host, std::string_view target) const;

  /// A service of `route`, chosen by weight.
  static const ServiceId& ChooseService(const RouteRule& route, Random& random);

 private:
  ServingConfig config_;
  // Prefix to route, by host; positions in `config_.routes`.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>>
      by_host_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_ROUTE_TABLE_H_
