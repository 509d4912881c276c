#ifndef KINGCUPDRIFT_BASE_SHARED_BYTES_H_
#define KINGCUPDRIFT_BASE_SHARED_BYTES_H_

#include <memory>
#include <string>

namespace kingcupdrift {

/// Immutable bytes that several owners forward without copying. Ownership is
/// shared because retries may still send a body after the connection it came
/// from has closed.
using SharedBytes = std::shared_ptr<const std::string>;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_SHARED_BYTES_H_
