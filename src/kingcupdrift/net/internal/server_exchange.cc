#include "kingcupdrift/net/internal/server_exchange.h"

#include <memory>
#include <utility>

#include "kingcupdrift/net/internal/http_convert.h"
#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

/// Counts one exchange from construction to destruction.
class ExchangeCount {
 public:
  explicit ExchangeCount(std::shared_ptr<std::size_t> total)
      : total_(std::move(total)) {
    ++*total_;
  }
  ~ExchangeCount() { --*total_; }
  ExchangeCount(const ExchangeCount&) = delete;
  ExchangeCount& operator=(const ExchangeCount&) = delete;

 private:
  std::shared_ptr<std::size_t> total_;
};

// evhttp does not read while it waits for a response, so a separate event on
// the socket detects that the caller closed the connection.
class ServerExchange : public HttpExchange {
  /// A response that was ended and is not sent whole. Freed with it.
  struct Ending {
    std::unique_ptr<ExchangeCount> count;
    // Null once the exchange is destroyed.
    ServerExchange* exchange;
  };

 public:
  ServerExchange(EventLoop& loop,
                 evhttp_request* request,
                 std::shared_ptr<std::size_t> unfinished_count,
                 ByteCount max_kernel_unsent_bytes)
      : max_kernel_unsent_bytes_(max_kernel_unsent_bytes),
        count_(std::make_unique<ExchangeCount>(std::move(unfinished_count))),
        request_(request),
        connection_(evhttp_request_get_connection(request)),
        method_(GetHttpMethodName(evhttp_request_get_command(request))),
        target_(evhttp_request_get_uri(request)),
        headers_(ToHeaderList(evhttp_request_get_input_headers(request))),
        body_(std::make_shared<const std::string>(
            TakeBytes(evhttp_request_get_input_buffer(request)))) {
    evhttp_connection_set_closecb(connection_, &HandleConnectionEnd, this);
    const evutil_socket_t fd = bufferevent_getfd(stream());
    DisableSendDelay(fd);
    close_event_.reset(
        event_new(loop.base(), fd, EV_CLOSED, &HandlePeerClosed, this));
    event_add(close_event_.get(), nullptr);
  }

  ~ServerExchange() override {
    close_event_.reset();
    if (ending_ != nullptr) {
      ending_->exchange = nullptr;
    }
    if (request_ == nullptr) {
      return;
    }
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    // No response can follow. This frees the request too.
    evhttp_connection_free(connection_);
  }

  const std::string& method() const override { return method_; }
  const std::string& target() const override { return target_; }
  const HeaderList& headers() const override { return headers_; }
  const SharedBytes& body() const override { return body_; }
  bool IsClosed() const override { return is_closed_; }

  void Respond(int status,
               const HeaderList& headers,
               SharedBytes body) override {
    if (request_ == nullptr) {
      return;
    }
    AddHeaders(evhttp_request_get_output_headers(request_), headers);
    const BufferHandle buffer(evbuffer_new());
    const std::string_view bytes = *body;
    AddReference(buffer.get(), {std::move(body), bytes});
    evhttp_request* const request = Detach();
    evhttp_send_reply(request, status, nullptr, buffer.get());
  }

  void StartChunked(int status, const HeaderList& headers) override {
    if (request_ == nullptr) {
      return;
    }
    AddHeaders(evhttp_request_get_output_headers(request_), headers);
    if (max_kernel_unsent_bytes_ > ByteCount(0)) {
      SetMaxUnsentBytes(bufferevent_getfd(stream()), max_kernel_unsent_bytes_);
    }
    evhttp_send_reply_start(request_, status, nullptr);
    is_chunked_ =
        evhttp_find_header(evhttp_request_get_output_headers(request_),
                           "Transfer-Encoding") != nullptr;
  }

  void WriteChunk(std::string_view bytes) override {
    if (request_ == nullptr || bytes.empty()) {
      return;
    }
    evbuffer* const output = bufferevent_get_output(stream());
    if (std::exchange(has_chunk_, true) && is_chunked_ &&
        evbuffer_get_length(output) > 0) {
      // evhttp would add a buffer segment of a kilobyte for each chunk, many
      // times the size of a short event. The write in progress ends with these
      // bytes and then calls HandleDrained.
      evbuffer_add_printf(output, "%zx\r\n", bytes.size());
      evbuffer_add(output, bytes.data(), bytes.size());
      evbuffer_add(output, "\r\n", 2);
      return;
    }
    const BufferHandle buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    evhttp_send_reply_chunk_with_cb(request_, buffer.get(), &HandleDrained,
                                    this);
  }

  void EndChunked() override {
    if (request_ == nullptr) {
      return;
    }
    evhttp_send_reply_end(Detach());
  }

  ByteCount GetUnsentBytes() const override {
    if (request_ == nullptr && ending_ == nullptr) {
      return ByteCount(0);
    }
    const evbuffer* const output = bufferevent_get_output(stream());
    return ByteCount(static_cast<std::int64_t>(evbuffer_get_length(output)));
  }

  ByteCount GetUndeliveredBytes() const override {
    if (request_ == nullptr && ending_ == nullptr) {
      return ByteCount(0);
    }
    return GetUnsentBytes() +
           GetUnacknowledgedBytes(bufferevent_getfd(stream()));
  }

  void Discard() override {
    if (request_ == nullptr && ending_ == nullptr) {
      return;
    }
    close_event_.reset();
    request_ = nullptr;
    delete std::exchange(ending_, nullptr);
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    SetResetOnClose(bufferevent_getfd(stream()));
    // Frees the request too.
    evhttp_connection_free(connection_);
  }

  void SetSentCallback(std::function<void()> callback) override {
    sent_callback_ = std::move(callback);
  }

  void SetClosedCallback(std::function<void()> callback) override {
    closed_callback_ = std::move(callback);
  }
  void SetDrainedCallback(std::function<void()> callback) override {
    drained_callback_ = std::move(callback);
  }

 private:
  static void HandlePeerClosed(evutil_socket_t, short, void* arg) {
    auto& self = *static_cast<ServerExchange*>(arg);
    evhttp_connection* const connection = self.connection_;
    if (self.request_ == nullptr) {
      return;
    }
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    self.request_ = nullptr;
    evhttp_connection_free(connection);
    self.NotifyClosed();
  }

  static void HandleConnectionEnd(evhttp_connection*, void* arg) {
    auto& self = *static_cast<ServerExchange*>(arg);
    evhttp_request* const request = std::exchange(self.request_, nullptr);
    if (request == nullptr) {
      return;
    }
    // evhttp does not free a request that it detached from its connection.
    if (evhttp_request_get_connection(request) == nullptr) {
      evhttp_request_free(request);
    }
    self.close_event_.reset();
    self.NotifyClosed();
  }

  static void HandleDrained(evhttp_connection*, void* arg) {
    auto& self = *static_cast<ServerExchange*>(arg);
    if (self.drained_callback_) {
      // The callback may destroy the exchange.
      const auto callback = self.drained_callback_;
      callback();
    }
  }

  void NotifyClosed() {
    is_closed_ = true;
    if (closed_callback_) {
      const auto callback = std::move(closed_callback_);
      callback();
    }
  }

  // Gives the request back to evhttp, which frees it when the response was
  // sent.
  evhttp_request* Detach() {
    close_event_.reset();
    ending_ = new Ending{std::move(count_), this};
    evhttp_request_set_on_complete_cb(request_, &HandleSent, ending_);
    evhttp_connection_set_closecb(connection_, &HandleNotSent, ending_);
    return std::exchange(request_, nullptr);
  }

  static void HandleSent(evhttp_request* request, void* arg) {
    evhttp_connection* const connection =
        evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    HandleEnding(static_cast<Ending*>(arg));
  }

  static void HandleNotSent(evhttp_connection*, void* arg) {
    HandleEnding(static_cast<Ending*>(arg));
  }

  static void HandleEnding(Ending* arg) {
    const std::unique_ptr<Ending> ending(arg);
    ServerExchange* const self = ending->exchange;
    if (self == nullptr) {
      return;
    }
    self->ending_ = nullptr;
    if (self->sent_callback_) {
      // The callback may destroy the exchange.
      const auto callback = std::move(self->sent_callback_);
      callback();
    }
  }

  bufferevent* stream() const {
    return evhttp_connection_get_bufferevent(connection_);
  }

  ByteCount max_kernel_unsent_bytes_;
  std::unique_ptr<ExchangeCount> count_;
  evhttp_request* request_;
  evhttp_connection* connection_;
  std::string method_;
  std::string target_;
  HeaderList headers_;
  SharedBytes body_;
  EventHandle close_event_;
  std::function<void()> closed_callback_;
  std::function<void()> drained_callback_;
  std::function<void()> sent_callback_;
  bool is_closed_ = false;
  // The response is sent in chunks, and not up to the connection's end.
  bool is_chunked_ = false;
  // A chunk was written, so that HandleDrained follows the write in progress.
  bool has_chunk_ = false;
  // Null unless the response was ended and is not sent whole.
  Ending* ending_ = nullptr;
};

}  // namespace

std::unique_ptr<HttpExchange> CreateServerExchange(
    EventLoop& loop,
    evhttp_request* request,
    std::shared_ptr<std::size_t> unfinished_count,
    ByteCount max_kernel_unsent_bytes) {
  return std::make_unique<ServerExchange>(
      loop, request, std::move(unfinished_count), max_kernel_unsent_bytes);
}

}  // namespace kingcupdrift
