#ifndef TESTS_FAKES_STANDIN_ENGINE_STANDIN_H_
#define TESTS_FAKES_STANDIN_ENGINE_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fakes/engine_model.h"
#include "tests/fakes/standin/standin_server.h"

namespace kingcupdrift::fakes {

class EngineConnectionStandin;

/// Serves an EngineModel over the protocol of docs/API.md. Its control listener
/// adds:
///   POST /silence_streams: streams open now send nothing from now on;
///   POST /restart: the engine drops all work, memory and cache.
class EngineStandin {
 public:
  EngineStandin(EventLoop& loop, Clock& clock, EngineModelOptions options);
  ~EngineStandin();

  Result<void> Listen(std::uint16_t port, std::uint16_t control_port);

 private:
  struct GroupCheck;
  using ExchangePtr = std::unique_ptr<HttpExchange>;

  void AddControls();
  void OnRequest(ExchangePtr exchange);
  void OnItem(ExchangePtr exchange, std::string_view path);

  void StartStream(ExchangePtr exchange, CompletionKind kind);
  /// Runs the request if every other member of its group has reserved memory
  /// for it, else refuses it.
  void CheckGroup(ExchangePtr exchange,
                  CompletionKind kind,
                  EngineModelRequest work,
                  const std::vector<EngineAddress>& group);
  void Run(ExchangePtr exchange, CompletionKind kind, EngineModelRequest work);
  void ResumeStream(ExchangePtr exchange, const AttemptId& attempt);
  void Cancel(ExchangePtr exchange, const AttemptId& attempt);
  void Reserve(ExchangePtr exchange, const ReservationId& id);
  void Release(ExchangePtr exchange, const ReservationId& id);
  void ListHoldings(ExchangePtr exchange);
  void GetReport(ExchangePtr exchange);
  void GetCacheEvents(ExchangePtr exchange);
  void ApplyPlacementOrder(ExchangePtr exchange);
  void ExportCache(ExchangePtr exchange);
  void ImportCache(ExchangePtr exchange);
  /// Answers 200 or the status of the error.
  void ReplyDone(ExchangePtr exchange, const Result<void>& done);
  void CloseStream(std::uint64_t id);

  EngineModel model_;
  std::unique_ptr<HttpClient> peers_;
  StandinServer server_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<EngineConnectionStandin>> streams_;
  std::map<std::uint64_t, std::unique_ptr<GroupCheck>> checks_;
  std::map<AttemptId, CompletionKind> kinds_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_ENGINE_STANDIN_H_
