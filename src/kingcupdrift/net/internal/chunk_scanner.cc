#include "kingcupdrift/net/internal/chunk_scanner.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace kingcupdrift {
namespace {

unsigned ToHexValue(char c) {
  constexpr unsigned kLetterOffset = 10;
  return absl::ascii_isdigit(static_cast<unsigned char>(c))
             ? static_cast<unsigned>(c - '0')
             : static_cast<unsigned>(
                   absl::ascii_tolower(static_cast<unsigned char>(c)) - 'a') +
                   kLetterOffset;
}

}  // namespace

bool ChunkScanner::SkipData(std::size_t bytes) {
  if (!is_ended_ && data_left_ < bytes) {
    return false;
  }
  data_left_ -= std::min<std::uint64_t>(data_left_, bytes);
  return true;
}

bool ChunkScanner::Scan(std::string_view bytes) {
  while (!bytes.empty() && !is_ended_) {
    const auto data = static_cast<std::size_t>(
        std::min<std::uint64_t>(data_left_, bytes.size()));
    data_left_ -= data;
    bytes.remove_prefix(data);
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    bytes.remove_prefix(std::min(bytes.size(), part.size() + std::size_t{1}));
    TakeLinePart(part);
    if (line_bytes_ > kMaxLineBytes) {
      return false;
    }
    if (end != std::string_view::npos) {
      EndLine();
    }
  }
  return true;
}

void ChunkScanner::TakeLinePart(std::string_view part) {
  constexpr unsigned kHexBits = 4;
  line_bytes_ += part.size();
  for (const char c : part) {
    if (is_size_read_ || !absl::ascii_isxdigit(static_cast<unsigned char>(c))) {
      is_size_read_ = true;
      break;
    }
    size_ = (size_ << kHexBits) | ToHexValue(c);
    has_digits_ = true;
  }
}

void ChunkScanner::EndLine() {
  // The line end after a chunk's data is an empty line.
  if (has_digits_) {
    data_left_ = size_;
    is_ended_ = size_ == 0;
  }
  size_ = 0;
  line_bytes_ = 0;
  has_digits_ = false;
  is_size_read_ = false;
}

}  // namespace kingcupdrift
