#ifndef KINGCUPDRIFT_BASE_GATHERED_BODY_H_
#define KINGCUPDRIFT_BASE_GATHERED_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupdrift {

/// A body, as it arrives. It is kept in blocks: a single string
/// would be copied as it grows, and would leave holes of many sizes in the
/// heap.
class GatheredBody {
 public:
  void Append(std::string_view bytes);
  std::size_t size() const { return size_; }
  /// Memory that the body takes, in bytes.
  std::size_t GetCapacity() const { return capacity_; }
  /// Returns the whole body, with at least `spare` bytes of capacity after it,
  /// and leaves this one empty.
  std::string Take(std::size_t spare = 0);

  /// Size of a block in bytes, but for the first ones, which are smaller.
  static constexpr std::size_t kBlockBytes = 64'000;

 private:
  std::vector<std::string> blocks_;
  std::size_t size_ = 0;
  std::size_t capacity_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_GATHERED_BODY_H_
