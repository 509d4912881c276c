#include <doctest/doctest.h>

#include <string>

#include "kingcupdrift/net/internal/request_parser.h"

namespace kingcupdrift {
namespace {

constexpr RequestLimits kLimits{ByteCount(1000), ByteCount(5000), 64};
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;

/// Feeds a parser as a connection does: what was not taken is passed again.
struct ParserFixture {
  void Add(std::string_view bytes) {
    if (parser.failure_status() != 0) {
      return;
    }
    waiting.append(bytes);
    if (!parser.is_complete()) {
      waiting.erase(0, parser.Parse(waiting));
    }
  }
  void AddInPieces(std::string_view bytes, std::size_t size) {
    for (std::size_t i = 0; i < bytes.size(); i += size) {
      Add(bytes.substr(i, size));
    }
  }

  RequestParser parser{kLimits};
  std::string waiting;
};

std::string MakeRequest(const std::string& headers, const std::string& body) {
  return "POST /a?b=c HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

std::string MakeChunk(const std::string& bytes, const std::string& extension) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t left = bytes.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + extension + "\r\n" + bytes + "\r\n";
}

TEST_CASE("a request is the same however it is cut into pieces") {
  const std::string chunked =
      MakeRequest("Transfer-Encoding: chunked\r\n",
                  MakeChunk("abc", "") + MakeChunk("defgh", ";name=\"value\"") +
                      "0\r\nContent-Type: x\r\n\r\n");
  const std::string sized = MakeRequest("Content-Length: 8\r\n", "abcdefgh");
  for (const std::string& request : {chunked, sized}) {
    for (std::size_t size = 1; size <= request.size(); ++size) {
      CAPTURE(size);
      ParserFixture fixture;
      fixture.AddInPieces(request + "GET", size);
      RequestParser& parser = fixture.parser;
      REQUIRE(parser.failure_status() == 0);
      REQUIRE(parser.is_complete());
      CHECK(fixture.waiting == "GET");
      CHECK(parser.method() == "POST");
      CHECK(parser.TakeTarget() == "/a?b=c");
      const HeaderList headers = parser.TakeHeaders();
      REQUIRE(headers.size() == 2);
      CHECK(headers[0].first == "Host");
      const std::string body = parser.TakeBody();
      CHECK(body == "abcdefgh");
      CHECK(body.capacity() >= body.size() + kLimits.body_padding);
    }
  }
}

TEST_CASE("a body over the limit is refused before it arrives") {
  ParserFixture sized;
  sized.Add(MakeRequest("Content-Length: 5001\r\n", ""));
  CHECK(sized.parser.failure_status() == kTooLarge);
  ParserFixture chunked;
  chunked.Add(MakeRequest("Transfer-Encoding: chunked\r\n", "1389\r\n"));
  CHECK(chunked.parser.failure_status() == kTooLarge);
  ParserFixture allowed;
  allowed.Add(MakeRequest("Content-Length: 5000\r\n", std::string(5000, 'x')));
  CHECK(allowed.parser.is_complete());
}

TEST_CASE("parts of a chunked body without end are refused") {
  const std::string flood(2 * kLimits.max_header_bytes.value(), '0');
  const std::string trailer = "X: y\r\n";
  std::string trailers;
  while (trailers.size() < flood.size()) {
    trailers += trailer;
  }
  for (const std::string& body : {flood, "1;" + flood, "0\r\n" + trailers}) {
    ParserFixture fixture;
    fixture.AddInPieces(
        MakeRequest("Transfer-Encoding: chunked\r\n", "") + body, 100);
    CHECK(fixture.parser.failure_status() == kTooLarge);
    CHECK(fixture.waiting.size() < flood.size());
  }
}

TEST_CASE("a head of just the limit is read and a larger one refused") {
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
  constexpr std::size_t kLineEnds = 4;
  const std::size_t rest =
      static_cast<std::size_t>(kLimits.max_header_bytes.value()) -
      (start.size() - kLineEnds) - std::string("X: ").size();
  ParserFixture allowed;
  allowed.Add(start + "X: " + std::string(rest, 'x') + "\r\n\r\n");
  CHECK(allowed.parser.is_complete());
  ParserFixture refused;
  refused.Add(start + "X: " + std::string(rest + 1, 'x') + "\r\n\r\n");
  CHECK(refused.parser.failure_status() == kBadRequest);
  ParserFixture endless;
  endless.AddInPieces(start + "X: " + std::string(9 * rest, 'x'), 100);
  CHECK(endless.parser.failure_status() == kBadRequest);
}

TEST_CASE("a body whose end is ambiguous is refused") {
  for (const char* const headers :
       {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: -1\r\n",
        "Content-Length : 1\r\n", "Transfer-Encoding: gzip\r\n"}) {
    CAPTURE(headers);
    ParserFixture fixture;
    fixture.Add(MakeRequest(headers, "x"));
    CHECK(fixture.parser.failure_status() == kBadRequest);
  }
}

TEST_CASE("small chunks take little more memory than their bytes") {
  ParserFixture fixture;
  fixture.Add(MakeRequest("Transfer-Encoding: chunked\r\n", ""));
  const ByteCount before = fixture.parser.GetHeldBytes();
  for (int i = 0; i < 4000; ++i) {
    fixture.Add("1\r\nx\r\n");
  }
  CHECK((fixture.parser.GetHeldBytes() - before).value() <= 2 * 4000);
}

TEST_CASE("line ends before a request are skipped") {
  ParserFixture fixture;
  fixture.AddInPieces("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 1);
  CHECK(fixture.parser.is_complete());
}

TEST_CASE("a body is read whatever the method") {
  ParserFixture fixture;
  fixture.Add("HEAD / HTTP/1.1\r\nContent-Length: 3\r\n\r\nGET");
  CHECK(fixture.parser.is_complete());
  CHECK(fixture.waiting.empty());
  CHECK(fixture.parser.TakeBody() == "GET");
}

}  // namespace
}  // namespace kingcupdrift
