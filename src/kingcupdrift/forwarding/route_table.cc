#include "kingcupdrift/forwarding/route_table.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/forwarding/request_priority.h"

namespace kingcupdrift {

RouteTable::RouteTable(ServingConfig config) : config_(std::move(config)) {
  for (const auto& [service, spec] : config_.services) {
    if (HasDifferingPriorities(config_, service)) {
      services_with_priorities_.insert(service);
    }
  }
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    const RouteRule& route = config_.routes[i];
    by_host_[route.host][route.prefix] = i;
  }
}

const RouteRule* RouteTable::Find(const std::string& host,
                                  std::string_view path_and_query) const {
  const auto routes = by_host_.find(host);
  if (routes == by_host_.end()) {
    return nullptr;
  }
  std::string_view path =
      path_and_query.substr(0, path_and_query.find_first_of("?#"));
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto it = routes->second.find(path);
    if (it != routes->second.end()) {
      return &config_.routes[it->second];
    }
    path.remove_suffix(1);
  }
  return nullptr;
}

const ServiceId& RouteTable::ChooseService(const RouteRule& route,
                                           Random& random) {
  std::uint64_t total = 0;
  for (const ServiceShare& it : route.shares) {
    total += static_cast<std::uint64_t>(it.weight);
  }
  std::uint64_t remainder = random.NextBelow(std::max<std::uint64_t>(total, 1));
  for (const ServiceShare& it : route.shares) {
    const auto weight = static_cast<std::uint64_t>(it.weight);
    if (remainder < weight) {
      return it.service;
    }
    remainder -= weight;
  }
  return route.shares.back().service;
}

}  // namespace kingcupdrift
