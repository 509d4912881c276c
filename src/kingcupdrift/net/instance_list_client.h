#ifndef KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_
#define KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_

#include <memory>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/net/http_client.h"

namespace kingcupdrift {

/// The platform's list of instances, read as Kubernetes EndpointSlices.
std::unique_ptr<InstanceList> CreateEndpointSliceInstanceList(
    HttpClient& http,
    const Endpoint& endpoint);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INSTANCE_LIST_CLIENT_H_
