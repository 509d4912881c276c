#include "kingcupdrift/base/gathered_body.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

void GatheredBody::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (size_ == capacity_) {
      // As large as all before, so that a small body takes few blocks.
      std::string& block = blocks_.emplace_back();
      block.reserve(std::min(std::max(size_, bytes.size()), kBlockBytes));
      capacity_ += block.capacity();
    }
    std::string& last = blocks_.back();
    const std::size_t n = std::min(bytes.size(), capacity_ - size_);
    last.append(bytes.substr(0, n));
    size_ += n;
    bytes.remove_prefix(n);
  }
}

std::string GatheredBody::Take(std::size_t spare) {
  std::vector<std::string> blocks = std::exchange(blocks_, {});
  const std::size_t size = std::exchange(size_, 0);
  capacity_ = 0;
  if (blocks.size() == 1 && blocks.front().capacity() >= size + spare) {
    return std::move(blocks.front());
  }
  std::string body;
  body.reserve(size + spare);
  for (std::string& it : blocks) {
    body += it;
    it = std::string();
  }
  return body;
}

}  // namespace kingcupdrift
