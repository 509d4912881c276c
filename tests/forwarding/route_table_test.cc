#include "kingcupdrift/forwarding/route_table.h"

#include <doctest/doctest.h>

namespace kingcupdrift {
namespace {

RouteRule Rule(const std::string& host, const std::string& prefix) {
  RouteRule rule;
  rule.name = host + prefix;
  rule.host = host;
  rule.prefix = prefix;
  rule.shares = {{ServiceId("one"), 3}, {ServiceId("two"), 1}};
  return rule;
}

RouteTable Table() {
  ServingConfig config;
  config.routes = {Rule("a", "/"), Rule("a", "/x/"), Rule("a", "/x/y/"),
                   Rule("b", "/x/")};
  return RouteTable(config);
}

TEST_CASE("the route with the longest matching prefix is found") {
  const RouteTable table = Table();
  const auto name = [&](const std::string& host, std::string_view target) {
    const RouteRule* const route = table.Find(host, target);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(name("a", "/x/y/z") == "a/x/y/");
  CHECK(name("a", "/x/y") == "a/x/");
  CHECK(name("a", "/x?q=/x/y/") == "a/");
  CHECK(name("a", "/other") == "a/");
  CHECK(name("b", "/other").empty());
  CHECK(name("c", "/x/").empty());
  CHECK(name("a", "x").empty());
}

TEST_CASE("services get shares of a route's requests by their weights") {
  const RouteTable table = Table();
  SeededRandom random(1);
  int first = 0;
  for (int i = 0; i < 4000; ++i) {
    const ServiceId& service =
        RouteTable::ChooseService(*table.Find("b", "/x/"), random);
    first += service == ServiceId("one") ? 1 : 0;
  }
  CHECK(first > 2800);
  CHECK(first < 3200);
}

}  // namespace
}  // namespace kingcupdrift
