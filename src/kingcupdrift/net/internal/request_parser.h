#ifndef KINGCUPDRIFT_NET_INTERNAL_REQUEST_PARSER_H_
#define KINGCUPDRIFT_NET_INTERNAL_REQUEST_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct RequestLimits {
  /// The lines of the head, without their line ends.
  ByteCount max_header_bytes;
  ByteCount max_body_bytes;
  /// Capacity to be left after the body.
  std::size_t body_padding = 0;
};

/// Parses one HTTP/1.x request, in pieces as they arrive.
class RequestParser {
 public:
  explicit RequestParser(const RequestLimits& limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Takes bytes of the request from the front of `bytes` and returns their
  /// number. The rest, which may be an incomplete line or the next request, is
  /// to be passed again, followed by more. To be called neither after a
  /// failure nor once the request is complete.
  std::size_t Parse(std::string_view bytes);

  /// HTTP status of the response to an invalid request; 0 if none is known to
  /// be invalid.
  int failure_status() const;
  bool has_head() const;
  bool is_complete() const;

  // Valid once there is a head.
  const std::string& method() const;
  /// False for HTTP/1.0, whose responses have no chunks.
  bool is_http_1_1() const;
  bool keeps_alive() const;
  /// The client waits for an interim response 100 before it sends the body.
  bool expects_continue() const;
  /// The `Expect` header has a value that is not supported.
  bool has_unknown_expectation() const;

  /// Memory for the whole body is reserved, since its length is known.
  bool has_reserved_body() const;
  /// Memory of the head and the body: the whole body if it is reserved,
  /// otherwise what has come of it.
  ByteCount GetHeldBytes() const;

  /// Move the parts of the request out of the parser.
  std::string TakeTarget();
  HeaderList TakeHeaders();
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_REQUEST_PARSER_H_
