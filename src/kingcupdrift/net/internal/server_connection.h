#ifndef KINGCUPDRIFT_NET_INTERNAL_SERVER_CONNECTION_H_
#define KINGCUPDRIFT_NET_INTERNAL_SERVER_CONNECTION_H_

#include <memory>
#include <optional>
#include <string_view>

#include "kingcupdrift/net/connection_budget.h"
#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_server.h"
#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/request_parser.h"
#include "kingcupdrift/net/internal/response_head.h"

namespace kingcupdrift {

class ServerConnection;

/// The server of a connection.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual EventLoop& loop() = 0;
  virtual const HttpServerSettings& settings() const = 0;
  virtual ConnectionBudget& budget() = 0;
  /// Number of responses that are not sent whole; may outlive the server.
  virtual std::shared_ptr<std::size_t> unfinished_count() const = 0;
  virtual void HandleRequest(std::unique_ptr<HttpExchange> exchange) = 0;
  /// The connection is closed.
  virtual void Remove(ServerConnection& connection) = 0;
};

/// Told about the response to the request that a connection handles.
class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  /// The send buffer is empty after a chunk.
  virtual void HandleDrained() = 0;
  /// The last byte was sent, or the connection failed after the response was
  /// ended. No other call follows.
  virtual void HandleSent() = 0;
  /// The connection was closed before the response was ended. No other call
  /// follows.
  virtual void HandleClosed() = 0;
};

/// One connection of a client: reads requests, one at a time, and writes their
/// responses. It goes on reading while a request is being handled, up to a
/// bound, so that it learns when the client leaves. Beyond the bound the
/// samples of the budget find that out.
class ServerConnection : public BudgetedConnection,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Takes ownership of the socket.
  ServerConnection(ConnectionOwner& owner, int socket);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Begins to read.
  void Start();
  /// Answers with `status`, then drops what the client still sends, for a
  /// bounded time, so that it can read the answer, and closes.
  void Refuse(int status);
  /// Closes the connection; its observer is told.
  void Close();
  /// To be called while the connection is open.
  const ConnectionAccount& account() const { return *account_; }

  // For the exchange of the request that is being handled.
  void SetObserver(ResponseObserver* observer) { observer_ = observer; }
  void SendResponse(int status, const HeaderList& headers, SharedBytes body);
  void StartChunked(int status, const HeaderList& headers);
  void WriteChunk(std::string_view bytes);
  void EndChunked();
  /// Resets the connection and tells no observer.
  void Reset();
  ByteCount GetUnsentBytes() const;
  ByteCount GetUndeliveredBytes() const;

  ByteCount ReadKernelBytes() override;
  void Shed() override;
  void Evict() override { Close(); }

 private:
  enum class Phase {
    /// Idle, or a request is incomplete.
    kReading,
    /// A request was passed on and its response not ended.
    kHandling,
    /// The response was ended and is not sent whole.
    kEnding,
    /// A request was refused; what the client still sends is dropped.
    kRefused,
    kClosed,
  };
  static void OnRead(bufferevent* stream, void* arg);
  static void OnWritten(bufferevent* stream, void* arg);
  static void OnEvent(bufferevent* stream, short events, void* arg);

  void ReadInput();
  /// Stops reading while the input that waits for the end of a response fills
  /// the buffer. libevent would call `OnRead` in each iteration of the loop,
  /// for as long as the buffer is full and reading is enabled.
  void UpdateReading();
  void DropInput();
  void ParseInput();
  /// Refuses a request that cannot be served, or answers 100.
  void CheckHead();
  void Dispatch();
  void HandleWritten();
  void HandleEvent(short events);
  void EndResponse();
  void FinishResponse();
  void WriteHead(int status,
                 const HeaderList& headers,
                 const ResponseFraming& framing);
  void SetInputLimit();
  void EnlargeReceiveBuffer();
  void Write(std::string_view bytes);
  void UpdateAccount();
  bool IsResponding() const {
    return phase_ == Phase::kHandling || phase_ == Phase::kEnding;
  }
  int socket() const { return bufferevent_getfd(stream_.get()); }
  evbuffer* input() const { return bufferevent_get_input(stream_.get()); }
  evbuffer* output() const { return bufferevent_get_output(stream_.get()); }

  ConnectionOwner& owner_;
  BuffereventHandle stream_;
  // Absent once the connection is closed.
  std::optional<ConnectionAccount> account_;
  Phase phase_ = Phase::kReading;
  std::unique_ptr<RequestParser> parser_;
  bool is_head_checked_ = false;
  bool has_large_receive_buffer_ = false;
  // Bytes in the input buffer that count as progress already.
  std::size_t seen_input_ = 0;
  // Size from which on the input buffer is full.
  std::size_t input_limit_ = 0;
  bool is_reading_paused_ = false;

  // The request that is being handled.
  ResponseObserver* observer_ = nullptr;
  // Counts the response while it is not sent whole.
  std::shared_ptr<std::size_t> unfinished_;
  ByteCount head_bytes_;
  bool is_http_1_1_ = true;
  bool is_head_request_ = false;
  bool keeps_alive_ = false;
  bool is_chunked_ = false;
  bool has_chunk_ = false;

  EventHandle refusal_timer_;
  std::size_t dropped_bytes_ = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_SERVER_CONNECTION_H_
