#include "kingcupdrift/api/body_slices.h"

#include <memory>
#include <utility>

namespace kingcupdrift {

BodySlice MakeSlice(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  const std::string_view bytes = *owner;
  return {std::move(owner), bytes};
}

BodySlices MakeBody(std::string text) {
  BodySlices out;
  out.push_back(MakeSlice(std::move(text)));
  return out;
}

std::size_t TotalSize(const BodySlices& slices) {
  std::size_t total = 0;
  for (const BodySlice& it : slices) {
    total += it.bytes.size();
  }
  return total;
}

}  // namespace kingcupdrift
