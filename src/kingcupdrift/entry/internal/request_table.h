#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_TABLE_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_TABLE_H_

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

class Request;

/// Owns the requests in progress. An ended request is destroyed on a later loop
/// turn, so that it may end inside any of its own callbacks.
class RequestTable {
 public:
  explicit RequestTable(Clock& clock);
  ~RequestTable();
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  void Add(std::unique_ptr<Request> request);
  /// Removes an ended request; ignores an unknown ID.
  void Remove(const RequestId& id);
  /// Null if unknown or ended.
  Request* Find(const RequestId& id) const;
  /// True if this attempt serves a request now.
  bool IsInUse(const AttemptId& attempt) const;
  std::size_t size() const { return requests_.size(); }

 private:
  Clock& clock_;
  std::unordered_map<RequestId, std::unique_ptr<Request>> requests_;
  std::vector<std::unique_ptr<Request>> ended_;
  std::unique_ptr<Timer> sweep_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_TABLE_H_
