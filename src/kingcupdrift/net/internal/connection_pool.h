#ifndef KINGCUPDRIFT_NET_INTERNAL_CONNECTION_POOL_H_
#define KINGCUPDRIFT_NET_INTERNAL_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/net/event_loop.h"
#include "kingcupdrift/net/http_client.h"
#include "kingcupdrift/net/internal/client_connection.h"

namespace kingcupdrift {

/// Keeps idle connections by server, and closes discarded ones in a later loop
/// iteration, since a connection must not be destroyed in its own callback.
class ConnectionPool {
 public:
  ConnectionPool(EventLoop& loop,
                 Clock& clock,
                 const HttpClientSettings& settings)
      : loop_(loop), clock_(clock), settings_(settings) {}

  /// Takes a reusable connection that was idle for at most `max_idle_time`;
  /// null if there is none.
  std::unique_ptr<ClientConnection> TakeIdle(const Endpoint& server);
  std::unique_ptr<ClientConnection> CreateNew(const Endpoint& server);

  /// Takes a connection back after a complete response. May be called inside
  /// the connection's callbacks.
  void Return(std::unique_ptr<ClientConnection> connection);
  /// Shuts a connection down at once and destroys it in a later loop iteration.
  void Discard(std::unique_ptr<ClientConnection> connection);

  Clock& clock() const { return clock_; }
  Duration connect_timeout() const { return settings_.connect_timeout; }
  const TrafficCounters& counters() const { return counters_; }

 private:
  struct IdleConnection {
    std::unique_ptr<ClientConnection> connection;
    MonotonicTime idle_since;
  };

  void ScheduleSweep();
  void Sweep();
  void AddIdle(std::unique_ptr<ClientConnection> connection);
  void DropExpired();
  std::shared_ptr<ReadLimiter> GetReadLimiter(const Endpoint& server);
  void DropFullLimiters();

  EventLoop& loop_;
  Clock& clock_;
  HttpClientSettings settings_;
  TrafficCounters counters_;
  std::map<Endpoint, std::vector<IdleConnection>> idle_;
  std::map<Endpoint, std::shared_ptr<ReadLimiter>> read_limiters_;
  std::vector<std::unique_ptr<ClientConnection>> returned_;
  std::vector<std::unique_ptr<ClientConnection>> discarded_;
  std::unique_ptr<Timer> sweep_timer_;
  std::unique_ptr<Timer> expiry_timer_;
  std::unique_ptr<Timer> limiter_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_CONNECTION_POOL_H_
