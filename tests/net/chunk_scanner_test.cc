#include "kingcupdrift/net/internal/chunk_scanner.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupdrift {
namespace {

TEST_CASE("size lines are told from data wherever the bytes are split") {
  const std::string body = "5\r\n" + std::string(5, 'x') + "\r\nA;e=1\n" +
                           std::string(10, '1') + "\n1000\r\n" +
                           std::string(0x1000, '7');
  for (std::size_t split = 0; split <= 40; ++split) {
    ChunkScanner scanner;
    CHECK(scanner.Scan(body.substr(0, split)));
    CHECK(scanner.Scan(body.substr(split)));
    // All data has come, so a size line follows.
    CHECK_FALSE(scanner.SkipData(1));
    CHECK_FALSE(scanner.Scan(
        "\r\n" + std::string(ChunkScanner::kMaxLineBytes + 1, '0')));
  }
}

// Guards against a line that is searched from its start for each piece.
TEST_CASE("a size line without an end is found however it arrives") {
  for (const char c : {'0', ';', ' ', '\r'}) {
    CAPTURE(c);
    ChunkScanner scanner;
    std::size_t count = 0;
    while (count <= 2 * ChunkScanner::kMaxLineBytes && scanner.Scan({&c, 1})) {
      ++count;
    }
    CHECK(count == ChunkScanner::kMaxLineBytes);
  }
}

TEST_CASE("the data of a large chunk need not be scanned") {
  ChunkScanner scanner;
  CHECK(scanner.Scan("100000\r\n"));
  CHECK(scanner.SkipData(0xffff0));
  CHECK_FALSE(scanner.SkipData(0x11));
  CHECK(scanner.SkipData(0x10));
}

TEST_CASE("trailers are no size lines") {
  ChunkScanner scanner;
  CHECK(scanner.Scan("0\r\n"));
  CHECK(scanner.Scan(std::string(2 * ChunkScanner::kMaxLineBytes, 'x')));
}

}  // namespace
}  // namespace kingcupdrift
