#ifndef KINGCUPDRIFT_NET_INTERNAL_CALLER_SERVER_H_
#define KINGCUPDRIFT_NET_INTERNAL_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "kingcupdrift/entry/entry.h"
#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_server.h"

namespace kingcupdrift {

/// Hands callers' and operators' HTTP requests to an entry.
class CallerServer {
 public:
  /// `process_metrics` gives the metrics text of what is outside the entry.
  CallerServer(Entry& entry,
               EventLoop& loop,
               const Clock& clock,
               std::string shared_secret,
               std::function<std::string()> process_metrics);

  /// Answers one request, now or later.
  void Handle(std::unique_ptr<HttpExchange> exchange);

 private:
  using Exchange = std::unique_ptr<HttpExchange>;

  void HandleCompletion(CompletionKind kind, Exchange exchange);
  void Complete(CompletionCall call, Exchange exchange);
  void HandleResume(Exchange exchange);
  void HandleService(Exchange exchange);
  /// False if the path is none of an operator's.
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
