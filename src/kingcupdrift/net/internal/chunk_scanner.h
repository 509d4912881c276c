#ifndef KINGCUPDRIFT_NET_INTERNAL_CHUNK_SCANNER_H_
#define KINGCUPDRIFT_NET_INTERNAL_CHUNK_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kingcupdrift {

/// Follows the chunks of a body to find a size line that has no end. libevent
/// limits neither the length of such a line nor how often it searches it.
class ChunkScanner {
 public:
  /// Takes the next bytes of the body, looking only at those of size lines.
  /// False if a size line is longer than `kMaxLineBytes`.
  bool Scan(std::string_view bytes);
  /// True if the next byte belongs to the data of a chunk that has `bytes` left
  /// at least, so that they need not be scanned.
  bool SkipData(std::size_t bytes);

  /// Exceeds any size with the usual extensions.
  static constexpr std::size_t kMaxLineBytes = 4'096;

 private:
  void TakeLinePart(std::string_view part);
  void EndLine();

  std::uint64_t data_left_ = 0;
  std::uint64_t size_ = 0;
  std::size_t line_bytes_ = 0;
  bool has_digits_ = false;
  // The digits of the line's size have ended.
  bool is_size_read_ = false;
  // The chunk of size zero has come; trailers follow.
  bool is_ended_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CHUNK_SCANNER_H_
