#ifndef KINGCUPDRIFT_API_BODY_SLICES_H_
#define KINGCUPDRIFT_API_BODY_SLICES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Contiguous bytes inside a shared buffer. `owner` keeps the buffer alive.
struct BodySlice {
  SharedBytes owner;
  std::string_view bytes;
};

/// A body as the concatenation of its slices.
using BodySlices = std::vector<BodySlice>;

BodySlice MakeSlice(std::string text);
BodySlices MakeBody(std::string text);
std::size_t TotalSize(const BodySlices& slices);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_BODY_SLICES_H_
