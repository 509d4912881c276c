#include "kingcupdrift/base/gathered_body.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace kingcupdrift {
namespace {

// Guards against bytes that are lost or moved between blocks.
TEST_CASE("a gathered body has all bytes in order, however they arrive") {
  for (const std::size_t piece : {1U, 7U, 4096U, 64'000U, 200'000U}) {
    CAPTURE(piece);
    std::string text;
    GatheredBody body;
    while (text.size() < 300'000) {
      const std::string next(
          std::min<std::size_t>(piece, 300'000 - text.size()),
          static_cast<char>('a' + text.size() % 26));
      text += next;
      body.Append(next);
      CHECK(body.size() == text.size());
      CHECK(body.GetCapacity() >= text.size());
      CHECK(body.GetCapacity() <= 2 * text.size() + GatheredBody::kBlockBytes);
    }
    CHECK(body.Take() == text);
    CHECK(body.size() == 0);
    CHECK(body.GetCapacity() == 0);
    CHECK(body.Take().empty());
  }
}

}  // namespace
}  // namespace kingcupdrift
