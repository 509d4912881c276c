#ifndef KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_
#define KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_

#include <functional>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// One row of the platform's list of instances.
struct ListedInstance {
  InstanceId id;
  /// Address of the instance's listener for peers.
  Endpoint peer_endpoint;
  FailureDomain failure_domain;
  bool is_leaving = false;
  /// Address of its listener for callers and operators; port 0 when the list
  /// does not name one.
  Endpoint caller_endpoint = {};
};

/// The platform's lagging list of instances that are live or leaving.
class InstanceList {
 public:
  using Callback = std::function<void(Result<std::vector<ListedInstance>>)>;

  virtual ~InstanceList() = default;
  virtual void Fetch(Callback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_
