#include "tests/fakes/standin/list_standin.h"

#include <utility>

namespace kingcupdrift::fakes {
namespace {

constexpr int kOk = 200;

ListedInstance ReadInstance(const Json& request) {
  ListedInstance row;
  row.id = InstanceId(request.value("id", ""));
  row.peer_endpoint = {request.value("ip", "127.0.0.1"),
                       request.value("port", std::uint16_t{0})};
  row.caller_endpoint = {row.peer_endpoint.host,
                         request.value("caller_port", std::uint16_t{0})};
  row.failure_domain = FailureDomain(request.value("domain", ""));
  row.caller_endpoint = {row.peer_endpoint.host,
                         request.value("caller_port", std::uint16_t{0})};
  row.is_leaving = request.value("leaving", false);
  return row;
}

/// Makes the slice of one instance. All endpoints of a slice share its list of
/// ports, and each instance has ports of its own, so that each needs a slice.
Json SliceJson(const ListedInstance& row) {
  const Json endpoint = {
      {"addresses", Json::array({row.peer_endpoint.host})},
      {"conditions",
       {{"ready", !row.is_leaving},
        {"serving", true},
        {"terminating", row.is_leaving}}},
      {"targetRef", {{"kind", "Pod"}, {"name", row.id.value()}}},
      {"zone", row.failure_domain.value()}};
  Json ports =
      Json::array({{{"name", "peer"}, {"port", row.peer_endpoint.port}}});
  if (row.caller_endpoint.port != 0) {
    ports.push_back({{"name", "callers"}, {"port", row.caller_endpoint.port}});
  }
  return {{"metadata", {{"name", "kingcupdrift-" + row.id.value()}}},
          {"addressType", "IPv4"},
          {"endpoints", Json::array({endpoint})},
          {"ports", std::move(ports)}};
}

}  // namespace

ListStandin::ListStandin(EventLoop& loop, Clock& clock, Duration lag)
    : model_(lag, clock), server_(loop, clock) {
  server_.AddControl("POST /set", [this](const Json& request) {
    model_.Set(ReadInstance(request));
    return Json::object();
  });
  server_.AddControl("POST /remove", [this](const Json& request) {
    model_.Remove(InstanceId(request.value("id", "")));
    return Json::object();
  });
}

Result<void> ListStandin::Listen(std::uint16_t port,
                                 std::uint16_t control_port) {
  return server_.Listen(
      "list", port, control_port,
      [this](std::unique_ptr<HttpExchange> it) { OnRequest(std::move(it)); });
}

void ListStandin::OnRequest(std::unique_ptr<HttpExchange> exchange) {
  Json items = Json::array();
  for (const ListedInstance& row : model_.Rows()) {
    items.push_back(SliceJson(row));
  }
  server_.Reply(std::move(exchange), kOk,
                {{"kind", "EndpointSliceList"},
                 {"apiVersion", "discovery.k8s.io/v1"},
                 {"items", std::move(items)}});
}

}  // namespace kingcupdrift::fakes
