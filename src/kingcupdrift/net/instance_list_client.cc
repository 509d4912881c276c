#include "kingcupdrift/net/instance_list_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kingcupdrift/api/json_fields.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

constexpr char kSlicesTarget[] =
    "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
constexpr int kStatusOk = 200;
constexpr std::int64_t kMaxPort = 65535;

/// Name of the port for callers and operators.
constexpr char kCallerPort[] = "callers";

// Returns the first valid port; if `name` is not empty, the first valid port
// of that name.
std::optional<std::uint16_t> ReadPort(const json& slice,
                                      const std::string& name) {
  for (const json& it : GetArrayField(slice, "ports")) {
    if (!name.empty() && GetStringField(it, "name") != name) {
      continue;
    }
    const std::int64_t port = GetIntegerField(it, "port");
    if (port > 0 && port <= kMaxPort) {
      return static_cast<std::uint16_t>(port);
    }
  }
  return std::nullopt;
}

// By default, an instance is serving and not terminating.
bool IsLeaving(const json& row) {
  const json& conditions = GetObjectField(row, "conditions");
  const bool is_serving =
      !conditions.contains("serving") || GetBoolField(conditions, "serving");
  return GetBoolField(conditions, "terminating") || !is_serving;
}

std::optional<ListedInstance> ReadRow(const json& row,
                                      std::uint16_t port,
                                      std::uint16_t caller_port) {
  const json& addresses = GetArrayField(row, "addresses");
  ListedInstance out;
  out.id = InstanceId(GetStringField(GetObjectField(row, "targetRef"), "name"));
  if (out.id.empty() || addresses.empty() || !addresses.front().is_string()) {
    return std::nullopt;
  }
  out.peer_endpoint = {addresses.front().get<std::string>(), port};
  out.caller_endpoint = {out.peer_endpoint.host, caller_port};
  if (!ParseEndpoint(ToString(out.peer_endpoint))) {
    return std::nullopt;
  }
  out.failure_domain = FailureDomain(GetStringField(row, "zone"));
  out.is_leaving = IsLeaving(row);
  return out;
}

// Skips malformed rows, so that one of them does not hide the others.
Result<std::vector<ListedInstance>> ReadSlices(const json& list) {
  if (!list.is_object() || !list.contains("items")) {
    return MakeError(ErrorCode::kProtocol,
                     "the response is not a list of EndpointSlices");
  }
  std::vector<ListedInstance> instances;
  for (const json& slice : GetArrayField(list, "items")) {
    const auto port = ReadPort(slice, "");
    if (!port) {
      continue;
    }
    const std::uint16_t caller_port =
        ReadPort(slice, kCallerPort).value_or(std::uint16_t{0});
    for (const json& row : GetArrayField(slice, "endpoints")) {
      if (auto instance = ReadRow(row, *port, caller_port)) {
        instances.push_back(*std::move(instance));
      }
    }
  }
  return instances;
}

class EndpointSliceInstanceList : public InstanceList {
 public:
  EndpointSliceInstanceList(HttpClient& http, const Endpoint& endpoint)
      : http_(http), endpoint_(endpoint) {}

  void Fetch(Callback callback) override {
    HttpRequest request;
    request.server = endpoint_;
    request.target = kSlicesTarget;
    auto finish = [callback =
                       std::move(callback)](Result<HttpResponse> response) {
      if (!response) {
        callback(tl::unexpected(response.error()));
        return;
      }
      if (response->status != kStatusOk) {
        callback(MakeError(
            ErrorCode::kRefused,
            "the instance list answered with a status other than 200"));
        return;
      }
      callback(ReadSlices(ParseJson(*response->body)));
    };
    http_.Send(std::move(request), std::move(finish));
  }

 private:
  HttpClient& http_;
  Endpoint endpoint_;
};

}  // namespace

std::unique_ptr<InstanceList> CreateEndpointSliceInstanceList(
    HttpClient& http,
    const Endpoint& endpoint) {
  return std::make_unique<EndpointSliceInstanceList>(http, endpoint);
}

}  // namespace kingcupdrift
