#ifndef KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_
#define KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_

#include <functional>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// One instance on the platform's list.
struct ListedInstance {
  InstanceId id;
  /// Address of the instance's listener for peers; on a list of endpoint slices
  /// the first port.
  Endpoint peer_endpoint;
  FailureDomain failure_domain;
  /// The instance is draining: the platform stops it, or marks it as not
  /// serving.
  bool is_leaving = false;
  /// Address of its listener for callers and operators; port 0 if the list does
  /// not name one.
  Endpoint caller_endpoint = {};
};

/// The platform's list of live and draining instances. It may be out of date.
class InstanceList {
 public:
  using Callback = std::function<void(Result<std::vector<ListedInstance>>)>;

  virtual ~InstanceList() = default;
  virtual void Fetch(Callback callback) = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_INSTANCE_LIST_H_
