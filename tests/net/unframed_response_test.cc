// Responses whose end the server does not announce, or that never end.

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <string>

#include "kingcupdrift/net/net.h"
#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

/// A call whose response a test writes byte by byte.
struct RawResponse : HttpResponseObserver {
  RawResponse() {
    HttpRequest request;
    request.server = listener.endpoint;
    request.method = "POST";
    request.body = MakeBody("body");
    request.needs_new_connection = true;
    call = net.client->Stream(std::move(request), *this);
    net.Await([this] {
      server = server ? std::move(server) : listener.Accept();
      return server != nullptr;
    });
    net.Await([this] {
      server->ReadUntilClosed();
      return server->received.ends_with("\r\n\r\nbody");
    });
  }

  void OnHeaders(int code, const HeaderList&) override { status = code; }
  void OnBytes(std::string_view bytes) override {
    received += bytes.size();
    most_at_once = std::max(most_at_once, bytes.size());
  }
  void OnWaitingBytes(ByteCount bytes) override { waiting = bytes; }
  void OnEnd() override { is_ended = true; }
  void OnError(Error failure) override { error = std::move(failure); }
  bool IsOver() const { return is_ended || error.has_value(); }

  /// Repeats `bytes` until the response ends or this many bytes are written.
  void WriteUntilOver(const std::string& bytes, std::size_t limit) {
    std::size_t written = 0;
    net.Await([&] {
      if (!IsOver() && written < limit) {
        written += server->Write(bytes);
      }
      return IsOver() || written >= limit;
    });
  }

  NetFixture net;
  SilentListener listener;
  std::unique_ptr<RawConnection> server;
  std::unique_ptr<HttpCall> call;
  int status = 0;
  std::size_t received = 0;
  std::size_t most_at_once = 0;
  ByteCount waiting;
  bool is_ended = false;
  std::optional<Error> error;
};

/// More than a client needs to keep of a response head.
constexpr std::size_t kEndlessBytes = 16'000'000;
const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n";

TEST_CASE("A response without length or chunks ends with its connection") {
  RawResponse response;
  response.server->Write(kUnframedHead + "whole ");
  response.net.Await([&] { return response.received == 6; });
  response.server->Write("answer");
  response.server->Close();
  response.net.Await([&] { return response.IsOver(); });
  CHECK(response.is_ended);
  CHECK(response.status == 200);
  CHECK(response.received == 12);
}

TEST_CASE("A response without length or chunks that is reset is incomplete") {
  RawResponse response;
  response.server->Write(kUnframedHead + "part");
  response.net.Await([&] { return response.received == 4; });
  response.server->Reset();
  response.net.Await([&] { return response.IsOver(); });
  CHECK_FALSE(response.is_ended);
  REQUIRE(response.error);
  CHECK(response.error->code == ErrorCode::kConnectionLost);
}

// Guards against memory that grows with what a faulty engine sends.
TEST_CASE("A response head that never ends fails the call") {
  for (const std::string& bytes :
       {std::string(1000, 'x'), "HTTP/1.1 200 " + std::string(1000, 'x'),
        "X: " + std::string(1000, 'x') + "\r\n"}) {
    CAPTURE(bytes.substr(0, 16));
    RawResponse response;
    if (bytes.starts_with("X:")) {
      response.server->Write("HTTP/1.1 200 OK\r\n");
    }
    response.WriteUntilOver(bytes, kEndlessBytes);
    REQUIRE(response.error);
    CHECK(response.received == 0);
    CHECK(response.net.client->BytesReceived().value() < 1'000'000);
  }
}

TEST_CASE("Interim responses that never end fail the call") {
  RawResponse response;
  std::string interim;
  for (int i = 0; i < 40; ++i) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  response.WriteUntilOver(interim, kEndlessBytes);
  REQUIRE(response.error);
  CHECK(response.received == 0);
}

TEST_CASE("A chunk size that never ends fails the call") {
  for (const std::string& start :
       {std::string(), std::string("5\r\nhello\r\n")}) {
    RawResponse response;
    response.server->Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start);
    response.WriteUntilOver(std::string(1000, '0'), kEndlessBytes);
    REQUIRE(response.error);
    CHECK(response.error->code == ErrorCode::kConnectionLost);
    CHECK(response.net.client->BytesReceived().value() < 100'000);
  }
}

// Guards against memory for unfinished heads and chunks that nothing counts.
TEST_CASE("Bytes that wait for the rest of a head or a chunk are reported") {
  for (const bool is_head : {true, false}) {
    CAPTURE(is_head);
    RawResponse response;
    response.server->Write(
        is_head ? "HTTP/1.1 200 OK\r\n"
                : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "7530\r\n");
    const std::string line = "X: " + std::string(995, 'x') + "\r\n";
    for (int i = 0; i < 29; ++i) {
      response.server->Write(line);
    }
    response.net.Await([&] { return response.waiting >= ByteCount(29'000); });
    CHECK(response.waiting < ByteCount(30'000));
    response.server->Write(line + "\r\n0\r\n\r\n");
    if (is_head) {
      response.server->Close();
    }
    response.net.Await([&] { return response.IsOver(); });
    CHECK(response.is_ended);
    CHECK(response.received == (is_head ? 5 : 30'000));
    // The lines of the head are kept until the end, the chunk is not.
    CHECK((response.waiting > ByteCount(0)) == is_head);
  }
}

TEST_CASE("A response above the request's own limit fails the call") {
  for (const std::string& start :
       {std::string(), kUnframedHead,
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1000000\r\n")}) {
    CAPTURE(start);
    NetFixture net;
    const SilentListener listener;
    HttpRequest request;
    request.server = listener.endpoint;
    request.max_response_bytes = ByteCount(64'000);
    std::optional<Result<HttpResponse>> result;
    const auto call =
        net.client->Fetch(request, [&](auto it) { result = std::move(it); });
    std::unique_ptr<RawConnection> server;
    net.Await([&] {
      server = server ? std::move(server) : listener.Accept();
      return server != nullptr;
    });
    server->Write(start);
    net.Await([&] {
      server->Write(std::string(10'000, 'x'));
      return result.has_value();
    });
    CHECK_FALSE(result->has_value());
    CHECK(net.client->BytesReceived() < ByteCount(100'000));
  }
}

TEST_CASE("A large chunk below the limit arrives whole") {
  RawResponse response;
  const std::size_t size = 4'000'000;
  response.server->Write(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n");
  std::size_t written = 0;
  const std::string part(8000, 'x');
  response.net.Await([&] {
    if (written < size) {
      written += response.server->Write(part);
    }
    return written == size;
  });
  response.server->Write("\r\n0\r\n\r\n");
  response.net.Await([&] { return response.IsOver(); });
  CHECK(response.is_ended);
  CHECK(response.received == size);
}

TEST_CASE("Trailers that never end fail the call") {
  RawResponse response;
  response.server->Write(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
  response.WriteUntilOver("X: " + std::string(1000, 'x') + "\r\n",
                          kEndlessBytes);
  REQUIRE(response.error);
  CHECK_FALSE(response.is_ended);
  CHECK(response.net.client->BytesReceived().value() < 1'000'000);
}

TEST_CASE("A body that never ends is passed on and not kept") {
  RawResponse response;
  response.server->Write(kUnframedHead);
  response.WriteUntilOver(std::string(60'000, 'x'), kEndlessBytes);
  CHECK_FALSE(response.IsOver());
  CHECK(response.received > 0);
  response.call.reset();
  response.net.Await([&] {
    response.server->Write("x");
    return response.server->ReadUntilClosed();
  });
}

TEST_CASE("A gathered response with a body that never ends fails") {
  NetFixture net;
  HttpClientSettings settings;
  settings.max_response_bytes = ByteCount(100'000);
  net.client = HttpClient::Create(net.loop, net.clock, settings);
  const SilentListener listener;
  HttpRequest request;
  request.server = listener.endpoint;
  std::optional<Result<HttpResponse>> result;
  const auto call =
      net.client->Fetch(request, [&](auto it) { result = std::move(it); });
  std::unique_ptr<RawConnection> server;
  net.Await([&] {
    server = server ? std::move(server) : listener.Accept();
    return server != nullptr;
  });
  server->Write(kUnframedHead);
  net.Await([&] {
    server->Write(std::string(10'000, 'x'));
    return result.has_value();
  });
  REQUIRE_FALSE(result->has_value());
  CHECK(result->error().code == ErrorCode::kProtocol);
}

// Guards against an answer whose head was cut off and that passes as a whole
// one with an empty or short body.
TEST_CASE("A response that is cut off is not complete, wherever it is cut") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer: s\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& whole :
       {head + "hello", chunked + "5\r\nhello\r\n0"}) {
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
      for (const bool is_reset : {false, true}) {
        CAPTURE(whole.substr(0, cut));
        CAPTURE(is_reset);
        RawResponse response;
        response.server->Write(whole.substr(0, cut));
        if (is_reset) {
          response.server->Reset();
        } else {
          response.server->Close();
        }
        response.net.Await([&] { return response.IsOver(); });
        CHECK_FALSE(response.is_ended);
        REQUIRE(response.error);
        CHECK(response.error->code == (response.status == 0
                                           ? ErrorCode::kUnknownEffect
                                           : ErrorCode::kConnectionLost));
      }
    }
  }
}

TEST_CASE("An unframed response that is cut off in its head is not complete") {
  for (std::size_t cut = 0; cut < kUnframedHead.size(); ++cut) {
    CAPTURE(kUnframedHead.substr(0, cut));
    RawResponse response;
    response.server->Write(kUnframedHead.substr(0, cut));
    response.server->Close();
    response.net.Await([&] { return response.IsOver(); });
    CHECK_FALSE(response.is_ended);
    CHECK(response.status == 0);
  }
}

}  // namespace
}  // namespace kingcupdrift
