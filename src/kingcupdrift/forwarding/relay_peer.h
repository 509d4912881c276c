#ifndef KINGCUPDRIFT_FORWARDING_RELAY_PEER_H_
#define KINGCUPDRIFT_FORWARDING_RELAY_PEER_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Another entry (a serving process) that reaches engines and serves requests
/// for entries that reach none.
struct RelayPeer {
  InstanceId id;
  /// Where callers connect to it.
  Endpoint endpoint;
  FailureDomain failure_domain;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_RELAY_PEER_H_
