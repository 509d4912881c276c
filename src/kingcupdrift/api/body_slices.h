#ifndef KINGCUPDRIFT_API_BODY_SLICES_H_
#define KINGCUPDRIFT_API_BODY_SLICES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A run of bytes inside a shared buffer, which it keeps alive.
struct BodySlice {
  SharedBytes owner;
  std::string_view bytes;
};

/// A body made of slices, in order.
using BodySlices = std::vector<BodySlice>;

BodySlice MakeSlice(std::string text);
BodySlices MakeBody(std::string text);
std::size_t TotalSize(const BodySlices& slices);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_BODY_SLICES_H_
