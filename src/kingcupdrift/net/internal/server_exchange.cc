#include "kingcupdrift/net/internal/server_exchange.h"

#include <memory>
#include <utility>

#include "kingcupdrift/net/internal/server_connection.h"

namespace kingcupdrift {
namespace {

class ServerExchange : public HttpExchange, private ResponseObserver {
 public:
  ServerExchange(ServerConnection& connection, RequestParser& request)
      : connection_(&connection),
        method_(request.method()),
        target_(request.TakeTarget()),
        headers_(request.TakeHeaders()),
        body_(std::make_shared<const std::string>(request.TakeBody())) {
    connection.SetObserver(this);
  }

  ~ServerExchange() override {
    if (connection_ == nullptr) {
      return;
    }
    connection_->SetObserver(nullptr);
    if (!is_ended_) {
      // No response can follow.
      connection_->Close();
    }
  }

  const std::string& method() const override { return method_; }
  const std::string& target() const override { return target_; }
  const HeaderList& headers() const override { return headers_; }
  const SharedBytes& body() const override { return body_; }
  bool IsClosed() const override { return is_closed_; }

  void Respond(int status,
               const HeaderList& headers,
               SharedBytes body) override {
    if (IsOpen()) {
      is_ended_ = true;
      connection_->SendResponse(status, headers, std::move(body));
    }
  }

  void StartChunked(int status, const HeaderList& headers) override {
    if (IsOpen()) {
      connection_->StartChunked(status, headers);
    }
  }

  void WriteChunk(std::string_view bytes) override {
    if (IsOpen() && !bytes.empty()) {
      connection_->WriteChunk(bytes);
    }
  }

  void EndChunked() override {
    if (IsOpen()) {
      is_ended_ = true;
      connection_->EndChunked();
    }
  }

  ByteCount GetUnsentBytes() const override {
    return connection_ != nullptr ? connection_->GetUnsentBytes()
                                  : ByteCount(0);
  }

  ByteCount GetUndeliveredBytes() const override {
    return connection_ != nullptr ? connection_->GetUndeliveredBytes()
                                  : ByteCount(0);
  }

  void Discard() override {
    if (ServerConnection* const connection =
            std::exchange(connection_, nullptr)) {
      connection->Reset();
    }
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
  bool IsOpen() const { return connection_ != nullptr && !is_ended_; }

  // The callbacks may destroy the exchange.

  void HandleDrained() override {
    if (drained_callback_) {
      const auto callback = drained_callback_;
      callback();
    }
  }

  void HandleSent() override {
    connection_ = nullptr;
    if (sent_callback_) {
      const auto callback = std::move(sent_callback_);
      callback();
    }
  }

  void HandleClosed() override {
    connection_ = nullptr;
    is_closed_ = true;
    if (closed_callback_) {
      const auto callback = std::move(closed_callback_);
      callback();
    }
  }

  // Null once the connection was closed or the response was sent whole.
  ServerConnection* connection_;
  std::string method_;
  std::string target_;
  HeaderList headers_;
  SharedBytes body_;
  std::function<void()> closed_callback_;
  std::function<void()> drained_callback_;
  std::function<void()> sent_callback_;
  bool is_closed_ = false;
  bool is_ended_ = false;
};

}  // namespace

std::unique_ptr<HttpExchange> CreateServerExchange(ServerConnection& connection,
                                                   RequestParser& request) {
  return std::make_unique<ServerExchange>(connection, request);
}

}  // namespace kingcupdrift
