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

/// Faults that every stand-in can simulate.
struct StandinFault {
  /// The listener is closed.
  bool is_down = false;
  /// Requests are received, but neither executed nor answered.
  bool drops_requests = false;
  /// Delay of each request before it is executed.
  Duration delay{0};
};

/// The two listeners of a stand-in: one for its protocol and one to control its
/// faults:
///   POST /fault with {"down":bool,"silent":bool,"delay_ms":n} sets all faults:
///   the members are is_down, drops_requests and delay of StandinFault;
///   POST /lose_replies with {"n":n} closes the connections of the next n calls
///   that are answered as a change of state, after they took effect and without
///   a reply. Starts and resumes of streams do not count; every call to the
///   service stand-in does.
/// The store, engine and service stand-ins add GET /counters, which returns
/// their counters; the list stand-in has none.
class StandinServer {
 public:
  using Handler = std::function<void(std::unique_ptr<HttpExchange>)>;
  /// Maps the JSON of a request to that of its answer.
  using ControlHandler = std::function<Json(const Json&)>;

  StandinServer(EventLoop& loop, Clock& clock);

  /// Binds both listeners; port 0 picks a free port. Prints
  /// "NAME ready PORT CONTROL_PORT" to standard output.
  Result<void> Listen(const std::string& name,
                      std::uint16_t port,
                      std::uint16_t control_port,
                      Handler handler);
  /// Adds "METHOD /path" to the control listener.
  void AddControl(const std::string& route, ControlHandler handler);

  /// Sets a callback that runs before the protocol's listener closes; it must
  /// drop open exchanges.
  void SetBeforeDown(std::function<void()> callback) {
    before_down_ = std::move(callback);
  }

  /// Answers with JSON. If `is_change`, the call changed state, and its reply
  /// is dropped if /lose_replies asked for it.
  void Reply(std::unique_ptr<HttpExchange> exchange,
             int status,
             const Json& body,
             bool is_change = false);
  /// Returns true, once for each lost reply asked for, if the reply to this
  /// call is to be dropped.
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
  // Requests dropped by a fault; their connections stay open.
  std::vector<std::unique_ptr<HttpExchange>> dropped_exchanges_;
};

/// Parses the request's body as JSON; a discarded value if it is malformed.
Json ParseBody(const HttpExchange& exchange);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_STANDIN_SERVER_H_
