#ifndef KINGCUPDRIFT_NET_INTERNAL_CALLER_SERVER_H_
#define KINGCUPDRIFT_NET_INTERNAL_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {

/// Passes HTTP requests of callers and operators to an entry (serving process).
class CallerServer {
 public:
  /// `shared_secret` is the bearer token required by /admin paths.
  /// `process_metrics` returns the process's metrics text (loop, connections,
  /// CPU and memory), which /metrics appends to the entry's.
  CallerServer(Entry& entry,
               EventLoop& loop,
               const Clock& clock,
               std::string shared_secret,
               std::function<std::string()> process_metrics);

  /// Handles one request; the response may follow later.
  void Handle(std::unique_ptr<HttpExchange> exchange);

 private:
  using Exchange = std::unique_ptr<HttpExchange>;

  void HandleCompletion(CompletionKind kind, Exchange exchange);
  void Complete(CompletionCall call, Exchange exchange);
  void HandleResume(Exchange exchange);
  void HandleService(Exchange exchange);
  /// Handles the entry's own paths: /admin, which needs the operators' secret,
  /// and /v1/entries, /healthz, /readyz and /metrics, which do not. Returns
  /// false for any other path.
  bool HandleOperator(HttpExchange& exchange);
  bool HasOperatorSecret(const HttpExchange& exchange) const;
  void RespondEntries(HttpExchange& exchange) const;
  void RespondStatus(HttpExchange& exchange) const;
  void RespondTimeline(HttpExchange& exchange) const;

  Entry& entry_;
  EventLoop& loop_;
  const Clock& clock_;
  std::string shared_secret_;
  std::function<std::string()> process_metrics_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CALLER_SERVER_H_
