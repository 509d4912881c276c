#ifndef TESTS_FAKES_STANDIN_STANDIN_SERVER_H_
#define TESTS_FAKES_STANDIN_STANDIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/net/net.h"
#include "tests/fakes/delayed_task_runner.h"

namespace kingcupdrift::fakes {

using Json = nlohmann::json;

/// Faults that every stand-in has.
struct StandinFault {
  /// The listener is closed.
  bool is_down = false;
  /// Requests are taken and neither run nor answered.
  bool drops_requests = false;
  /// Time each request waits before it runs.
  Duration delay{0};
};

/// The two listeners of a stand-in: one for its protocol, and one that switches
/// faults:
///   POST /fault with {"down":bool,"silent":bool,"delay_ms":n} sets them all;
///   POST /lose_replies with {"n":n} breaks the connections of the next calls
///   that change something, after their effect;
///   GET /counters gives what the stand-in counts.
class StandinServer {
 public:
  using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;
  /// Takes the request's JSON and gives the answer's.
  using ControlHandler = std::function<Json(const Json&)>;

  StandinServer(EventLoop& loop, Clock& clock);

  /// Binds both listeners; port 0 takes a free one. Prints
  /// "NAME ready PORT CONTROL_PORT" to standard output.
  Result<void> Listen(const std::string& name,
                      std::uint16_t port,
                      std::uint16_t control_port,
                      Handler handler);
  /// Adds "METHOD /path" to the control listener.
  void AddControl(const std::string& route, ControlHandler handler);

  /// Called before the listener closes, to drop open exchanges.
  void SetBeforeDown(std::function<void()> callback) {
    before_down_ = std::move(callback);
  }

  /// Answers with JSON, unless the reply is to be lost. `is_change` says that
  /// the call changed something.
  void Reply(std::unique_ptr<HttpExchange> exchange,
             int status,
             const Json& body,
             bool is_change = false);
  /// Whether the reply to this change is to be lost.
  bool ConsumeLostReply();

 private:
  Result<void> OpenListener();
  void OnRequest(std::unique_ptr<HttpExchange> exchange);
  void OnControl(std::unique_ptr<HttpExchange> exchange);
  Json SetFault(const Json& request);

  EventLoop& loop_;
  DelayedTaskRunner delayed_;
  Handler handler_;
  std::map<std::string, ControlHandler> controls_;
  Endpoint endpoint_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> control_;
  StandinFault fault_;
  std::function<void()> before_down_;
  int replies_to_lose_ = 0;
  // Requests that silence swallowed; their connections stay open.
  std::vector<std::unique_ptr<HttpExchange>> dropped_exchanges_;
};

/// The request's body as JSON; a discarded value when it is malformed.
Json ParseBody(const HttpExchange& exchange);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_STANDIN_SERVER_H_
