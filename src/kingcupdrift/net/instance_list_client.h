#ifndef KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_
#define KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

/// Creates a reader of the platform's list of instances: the EndpointSlices of
/// the "default" namespace of the Kubernetes API server at `endpoint`. The
/// first port of a slice is the instances' peer port; the port named "callers",
/// 0 without one, is their caller port.
std::unique_ptr<InstanceList> CreateEndpointSliceInstanceList(
    HttpClient& http,
    const Endpoint& endpoint);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_
