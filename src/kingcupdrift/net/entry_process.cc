#include "kingcupdrift/net/entry_process.h"

#include <sys/resource.h>

#include <csignal>
#include <memory>
#include <random>
#include <utility>

#include "kingcupdrift/net/connection_budget.h"
#include "kingcupdrift/net/engine_http_client.h"
#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_server.h"
#include "kingcupdrift/net/instance_list_client.h"
#include "kingcupdrift/net/internal/caller_server.h"
#include "kingcupdrift/net/internal/process_metrics.h"
#include "kingcupdrift/net/loop_clock.h"
#include "kingcupdrift/net/store_http_client.h"
#include "kingcupdrift/net/tcp_peer_link.h"

namespace kingcupdrift {
namespace {

const Logger kLog("entry");

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);

std::uint64_t ChooseSeed(const EntrySettings& settings) {
  if (settings.random_seed != 0) {
    return settings.random_seed;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

PeerLinkSettings MakePeerLinkSettings(const EntrySettings& settings) {
  PeerLinkSettings out;
  out.endpoint = settings.peer_endpoint;
  out.shared_secret = settings.shared_secret;
  return out;
}

ConnectionBudgetSettings MakeConnectionBudgetSettings(
    const EntrySettings& settings) {
  ConnectionBudgetSettings out;
  if (settings.max_client_bytes > ByteCount(0)) {
    out.max_bytes = settings.max_client_bytes;
  }
  // A quarter of the descriptors is left for engines, peers and the platform.
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      limit.rlim_cur != RLIM_INFINITY) {
    out.max_connections = static_cast<std::size_t>(limit.rlim_cur) -
                          static_cast<std::size_t>(limit.rlim_cur) / 4;
  }
  return out;
}

StoreClientSettings MakeStoreClientSettings(const EntrySettings& settings) {
  StoreClientSettings out;
  out.endpoint = settings.store_endpoint;
  return out;
}

/// Runs one entry with its sockets, from start to the end of draining.
class EntryProcess {
 public:
  explicit EntryProcess(const EntrySettings& settings)
      : settings_(settings), random_(ChooseSeed(settings)) {}

  int Run() {
    if (!Listen()) {
      return kExitCannotListen;
    }
    loop_.AddSignalHandler(SIGTERM, [this] { BeginDrain(); });
    loop_.AddSignalHandler(SIGINT, [this] { BeginDrain(); });
    entry_->Start();
    kLog.Info("Listening for callers at {} and peers at {}.",
              ToString(server_->endpoint()), ToString(peers_->endpoint()));
    loop_.Run();
    return exit_code_;
  }

 private:
  bool Listen() {
    auto peers = TcpPeerLink::Listen(loop_, clock_, random_,
                                     MakePeerLinkSettings(settings_));
    if (!peers) {
      kLog.Error("{}.", peers.error().detail);
      return false;
    }
    peers_ = *std::move(peers);
    entry_ = std::make_unique<Entry>(
        settings_, EntryDependencies{clock_, random_, *store_, *instances_,
                                     *engines_, *services_, *peers_});
    callers_ = std::make_unique<CallerServer>(
        *entry_, loop_, clock_, settings_.shared_secret, [this] {
          return ProcessMetricsText({loop_, *platform_http_,
                                     *engine_control_http_, *engine_data_http_,
                                     *peers_}) +
                 FormatConnectionMetrics(connections_);
        });
    HttpServerSettings server_settings;
    server_settings.budget = &connections_;
    auto server =
        HttpServer::Listen(loop_, settings_.caller_endpoint, server_settings,
                           [this](std::unique_ptr<HttpExchange> exchange) {
                             callers_->Handle(std::move(exchange));
                           });
    if (!server) {
      kLog.Error("{}.", server.error().detail);
      return false;
    }
    server_ = *std::move(server);
    return true;
  }

  void BeginDrain() {
    if (drain_timer_) {
      return;
    }
    kLog.Info("Draining; {} requests in progress.",
              entry_->GetStatus().requests_in_progress);
    entry_->StartDrain();
    drain_end_ = clock_.Now() + settings_.drain_limit;
    CheckDrained();
  }

  void CheckDrained() {
    if (entry_->IsDrained() && server_->CountUnfinishedExchanges() == 0) {
      kLog.Info("Drained.");
      loop_.Stop();
      return;
    }
    if (clock_.Now() >= drain_end_) {
      kLog.Error(
          "Drain limit reached with {} requests in progress; stopping. Unsent "
          "responses are dropped.",
          entry_->GetStatus().requests_in_progress);
      exit_code_ = kExitDrainLimit;
      loop_.Stop();
      return;
    }
    drain_timer_ =
        clock_.RunAfter(kDrainCheckInterval, [this] { CheckDrained(); });
  }

  // Members are destroyed in reverse order, so each is declared after the ones
  // that it uses.
  EntrySettings settings_;
  EventLoop loop_;
  LoopClock clock_{loop_};
  SeededRandom random_;
  ConnectionBudget connections_{clock_,
                                MakeConnectionBudgetSettings(settings_)};
  int exit_code_ = kExitSuccess;
  MonotonicTime drain_end_{};
  std::unique_ptr<HttpClient> platform_http_ =
      HttpClient::Create(loop_, clock_, HttpClientSettings());
  std::unique_ptr<HttpClient> engine_control_http_ =
      HttpClient::Create(loop_, clock_, HttpClientSettings());
  std::unique_ptr<HttpClient> engine_data_http_ =
      HttpClient::Create(loop_, clock_, HttpClientSettings());
  std::unique_ptr<PlatformStore> store_ =
      CreateStoreHttpClient(*platform_http_,
                            clock_,
                            MakeStoreClientSettings(settings_));
  std::unique_ptr<InstanceList> instances_ =
      CreateEndpointSliceInstanceList(*platform_http_,
                                      settings_.instance_list_endpoint);
  std::unique_ptr<EngineClient> engines_ =
      CreateEngineHttpClient(*engine_data_http_,
                             *engine_control_http_,
                             clock_,
                             EngineClientSettings());
  std::unique_ptr<ServiceClient> services_ =
      CreateServiceHttpClient(*engine_data_http_);
  std::unique_ptr<TcpPeerLink> peers_;
  std::unique_ptr<Entry> entry_;
  std::unique_ptr<CallerServer> callers_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Timer> drain_timer_;
};

}  // namespace

int RunEntryProcess(const EntrySettings& settings) {
  EntryProcess process(settings);
  return process.Run();
}

}  // namespace kingcupdrift
