#ifndef KINGCUPDRIFT_BASE_SHARED_BYTES_H_
#define KINGCUPDRIFT_BASE_SHARED_BYTES_H_

#include <memory>
#include <string>

namespace kingcupdrift {

/// Immutable bytes that several owners forward without copying. Shared
/// ownership is needed because a body outlives the connection it came on while
/// retries still send it.
using SharedBytes = std::shared_ptr<const std::string>;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_SHARED_BYTES_H_
