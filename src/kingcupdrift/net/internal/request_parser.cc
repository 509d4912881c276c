#include "kingcupdrift/net/internal/request_parser.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/base/gathered_body.h"

namespace kingcupdrift {
namespace {

namespace beast = boost::beast;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr std::size_t kColonAndSpaceBytes = 2;
constexpr std::string_view kLineEnd = "\r\n";
// Memory of a header besides its characters, in a list that doubles as it
// grows.
constexpr std::size_t kHeaderOverheadBytes = 2 * sizeof(HeaderList::value_type);

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

/// Limit of the head with its line ends and blanks, which the limit of its
/// lines does not count.
std::uint32_t ToRawHeadLimit(ByteCount limit) {
  constexpr std::int64_t kMaxLimit = 64'000'000;
  return static_cast<std::uint32_t>(
      std::min(2 * limit.value() + 1024, kMaxLimit));
}

enum class HeadState { kIncomplete, kInvalid, kWhole };

}  // namespace

struct RequestParser::Impl : beast::http::basic_parser<true> {
  explicit Impl(const RequestLimits& limits_in) : limits(limits_in) {
    header_limit(ToRawHeadLimit(limits.max_header_bytes));
    body_limit(static_cast<std::uint64_t>(limits.max_body_bytes.value()));
    eager(true);
  }

  /// Searches `bytes`, which begin a request, for its head. Each byte is
  /// searched once for each of the two ends.
  HeadState FindHead(std::string_view bytes) {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    const std::size_t start =
        searched_bytes - std::min(searched_bytes, kHeadEnd.size() - 1);
    searched_bytes = bytes.size();
    if (bytes.find(kHeadEnd, start) != std::string_view::npos) {
      return HeadState::kWhole;
    }
    if (bytes.size() > ToRawHeadLimit(limits.max_header_bytes) ||
        (!has_request_line && !MayBeginRequest(bytes, start))) {
      return HeadState::kInvalid;
    }
    return HeadState::kIncomplete;
  }

  /// False if no request begins like this, such as one of another protocol.
  /// There is no line end before `start`.
  bool MayBeginRequest(std::string_view bytes, std::size_t start) {
    constexpr std::string_view kMethodLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    if (kMethodLetters.find(bytes.front()) == std::string_view::npos) {
      return false;
    }
    const std::size_t end = bytes.find(kLineEnd, start);
    has_request_line = end != std::string_view::npos;
    return !has_request_line ||
           bytes.substr(0, end).find(" HTTP/1.") != std::string_view::npos;
  }

  void CountHeadBytes(std::size_t bytes, beast::error_code& ec) {
    head_bytes += bytes;
    if (head_bytes >
        static_cast<std::size_t>(limits.max_header_bytes.value())) {
      ec = beast::http::error::header_limit;
    }
  }

  void on_request_impl(beast::http::verb,
                       beast::string_view method_in,
                       beast::string_view target_in,
                       int version,
                       beast::error_code& ec) override {
    constexpr std::size_t kVersionBytes = 10;  // With the two blanks.
    method = ToString(method_in);
    target = ToString(target_in);
    is_http_1_1 = version >= 11;
    CountHeadBytes(method.size() + target.size() + kVersionBytes, ec);
  }

  void on_field_impl(beast::http::field field,
                     beast::string_view name,
                     beast::string_view value,
                     beast::error_code& ec) override {
    // Trailers are fields after the head; they are dropped.
    if (has_head) {
      return;
    }
    has_encoding |= field == beast::http::field::transfer_encoding;
    header_memory += name.size() + value.size() + kHeaderOverheadBytes;
    headers.emplace_back(ToString(name), ToString(value));
    CountHeadBytes(name.size() + kColonAndSpaceBytes + value.size(), ec);
  }

  void on_header_impl(beast::error_code& ec) override {
    has_head = true;
    // The length of such a body is not known.
    if (has_encoding && !chunked()) {
      ec = beast::http::error::bad_transfer_encoding;
    }
  }

  // A body of a known length needs no copy. The blocks of others are joined at
  // their end.
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         beast::error_code&) override {
    has_reserved_body = length.has_value();
    if (length) {
      sized_body.reserve(static_cast<std::size_t>(*length) +
                         limits.body_padding);
    }
  }

  std::size_t on_body_impl(beast::string_view bytes,
                           beast::error_code&) override {
    sized_body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t,
                            beast::string_view,
                            beast::error_code&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view bytes,
                                 beast::error_code&) override {
    chunked_body.Append({bytes.data(), bytes.size()});
    return bytes.size();
  }

  void on_finish_impl(beast::error_code&) override {}

  void on_response_impl(int,
                        beast::string_view,
                        int,
                        beast::error_code&) override {}

  RequestLimits limits;
  std::string method;
  std::string target;
  HeaderList headers;
  std::string sized_body;
  GatheredBody chunked_body;
  std::size_t searched_bytes = 0;
  bool has_request_line = false;
  std::size_t head_bytes = 0;
  std::size_t header_memory = 0;
  int failure_status = 0;
  bool is_http_1_1 = false;
  bool has_encoding = false;
  bool has_head = false;
  bool has_reserved_body = false;
};

RequestParser::RequestParser(const RequestLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::Parse(std::string_view bytes) {
  std::size_t taken = 0;
  // Some clients send a line end after a body.
  while (!impl_->got_some() &&
         bytes.substr(taken, kLineEnd.size()) == kLineEnd) {
    taken += kLineEnd.size();
  }
  const std::string_view rest = bytes.substr(taken);
  if (rest.empty() || (!impl_->got_some() && rest == "\r")) {
    return taken;
  }
  // A head is parsed at once: as text it takes far less memory than as a list
  // of many short headers.
  if (!impl_->has_head) {
    const HeadState state = impl_->FindHead(rest);
    if (state == HeadState::kInvalid) {
      impl_->failure_status = kBadRequest;
    }
    if (state != HeadState::kWhole) {
      return taken;
    }
  }
  beast::error_code ec;
  taken += impl_->put({rest.data(), rest.size()}, ec);
  // A chunk's size line, its extension or the trailers may have no end.
  const bool is_line_too_long =
      impl_->has_head && !impl_->is_done() &&
      bytes.size() - taken >
          static_cast<std::size_t>(impl_->limits.max_header_bytes.value());
  if (ec == beast::http::error::body_limit || is_line_too_long) {
    impl_->failure_status = kTooLarge;
  } else if (ec && ec != beast::http::error::need_more) {
    impl_->failure_status = kBadRequest;
  }
  return taken;
}

int RequestParser::failure_status() const {
  return impl_->failure_status;
}

bool RequestParser::has_head() const {
  return impl_->has_head;
}

bool RequestParser::is_complete() const {
  return impl_->is_done();
}

const std::string& RequestParser::method() const {
  return impl_->method;
}

bool RequestParser::is_http_1_1() const {
  return impl_->is_http_1_1;
}

bool RequestParser::keeps_alive() const {
  return impl_->keep_alive();
}

bool RequestParser::expects_continue() const {
  return is_http_1_1() &&
         beast::iequals(std::string(FindHeader(impl_->headers, "Expect")),
                        "100-continue");
}

bool RequestParser::has_unknown_expectation() const {
  return is_http_1_1() && !FindHeader(impl_->headers, "Expect").empty() &&
         !expects_continue();
}

bool RequestParser::has_reserved_body() const {
  return impl_->has_reserved_body;
}

ByteCount RequestParser::GetHeldBytes() const {
  return ByteCount(static_cast<std::int64_t>(
      impl_->target.capacity() + impl_->header_memory +
      impl_->sized_body.capacity() + impl_->chunked_body.GetCapacity()));
}

std::string RequestParser::TakeTarget() {
  return std::move(impl_->target);
}

HeaderList RequestParser::TakeHeaders() {
  return std::move(impl_->headers);
}

std::string RequestParser::TakeBody() {
  if (impl_->chunked()) {
    return impl_->chunked_body.Take(impl_->limits.body_padding);
  }
  std::string body = std::move(impl_->sized_body);
  body.reserve(body.size() + impl_->limits.body_padding);
  return body;
}

}  // namespace kingcupdrift
