#ifndef TESTS_FAKES_STANDIN_STORE_STANDIN_H_
#define TESTS_FAKES_STANDIN_STORE_STANDIN_H_

#include <map>
#include <memory>
#include <string>

#include "tests/fakes/standin/standin_server.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift::fakes {

/// Serves a StoreModel over the part of the etcd v3 JSON gateway that
/// PlatformStore needs: range, transactions of one comparison and one change,
/// leases and watches. On its control listener, POST /late_writes with
/// {"n":n,"delay_ms":d} delays the next n transactions and replaces an earlier
/// setting; lease calls are not delayed.
class StoreStandin {
 public:
  StoreStandin(EventLoop& loop, Clock& clock);

  Result<void> Listen(std::uint16_t port, std::uint16_t control_port);

 private:
  /// A watch and its connection.
  struct OpenWatch {
    std::unique_ptr<HttpExchange> exchange;
    std::uint64_t model_watch = 0;
  };

  void OnRequest(std::unique_ptr<HttpExchange> exchange);
  void Range(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void Transact(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void ApplyTransaction(std::unique_ptr<HttpExchange> exchange,
                        const Json& request);
  void GrantLease(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void KeepAlive(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void Revoke(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void Watch(std::unique_ptr<HttpExchange> exchange, const Json& request);
  void CloseWatch(std::uint64_t id);
  Json Counters();

  StoreModel model_;
  StandinServer server_;
  DelayedTaskRunner delayed_writes_;
  std::uint64_t next_watch_ = 0;
  std::map<std::uint64_t, std::unique_ptr<OpenWatch>> watches_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_STORE_STANDIN_H_
