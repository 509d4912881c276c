// Heads that libevent accepts although they are no heads of a response.

#include "kingcupdrift/net/internal/response_check.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace kingcupdrift {
namespace {

std::string_view Cut(std::string_view line) {
  return line.substr(0, kStatusBytes);
}

TEST_CASE("a status that is not three digits from 100 to 599 is a fault") {
  for (const char* const line :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 599 x\r\n",
        "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 404\n"}) {
    CAPTURE(line);
    CHECK(FindHeadFault(Cut(line), {}) == nullptr);
  }
  for (const char* const line :
       {"HTTP/1.1 000 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 20 OK\r\n",
        "HTTP/1.1 600 x\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 0200 OK\r\n",
        "HTTP/1.1 +200 OK\r\n", "HTTP/1.1 2e2 OK\r\n", "HTTP/1.1  200 OK\r\n",
        "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200", "", "ICY 200 OK\r\n"}) {
    CAPTURE(line);
    CHECK(FindHeadFault(Cut(line), {}) != nullptr);
  }
}

TEST_CASE("headers that leave a response's end open are a fault") {
  constexpr std::string_view kStatus = "HTTP/1.1 200 ";
  const std::vector<HeaderList> valid = {
      {},
      {{"Content-Length", "14"}},
      {{"content-length", "14"}, {"Content-Length", " 14 "}},
      {{"Transfer-Encoding", "Chunked"}},
      {{"X-Empty", ""}, {"!#$%&'*+-.^_`|~", "x"}},
  };
  for (const HeaderList& it : valid) {
    CHECK(FindHeadFault(kStatus, it) == nullptr);
  }
  const std::vector<HeaderList> faulty = {
      {{"Content-Length", "14"}, {"Content-Length", "31"}},
      {{"Content-Length", "14, 31"}},
      {{"Content-Length", "+14"}},
      {{"Content-Length", "14x"}},
      {{"Content-Length", ""}},
      {{"Content-Length", "14"}, {"Transfer-Encoding", "chunked"}},
      {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
      {{"Transfer-Encoding", "gzip"}},
      {{"Bed-\x08ards", "3"}},
      {{"Beds ", "3"}},
      {{"", "3"}},
  };
  for (const HeaderList& it : faulty) {
    CAPTURE(it.front().first);
    CAPTURE(it.front().second);
    CHECK(FindHeadFault(kStatus, it) != nullptr);
  }
}

}  // namespace
}  // namespace kingcupdrift
