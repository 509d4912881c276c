#include "kingcupdrift/net/internal/connection_pool.h"

#include <chrono>
#include <utility>

namespace kingcupdrift {
namespace {

/// Exceeds the time in which a limiter is filled.
constexpr Duration kLimiterCheckInterval = std::chrono::seconds(10);

}  // namespace

std::unique_ptr<ClientConnection> ConnectionPool::TakeIdle(
    const Endpoint& server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) {
    return nullptr;
  }
  std::vector<IdleConnection>& idle = it->second;
  const MonotonicTime oldest = clock_.Now() - settings_.max_idle_time;
  while (!idle.empty()) {
    IdleConnection last = std::move(idle.back());
    idle.pop_back();
    if (last.idle_since >= oldest && last.connection->IsReusable()) {
      return std::move(last.connection);
    }
  }
  idle_.erase(it);
  return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::CreateNew(
    const Endpoint& server) {
  return std::make_unique<ClientConnection>(loop_.base(), clock_, server,
                                            GetReadLimiter(server), counters_);
}

std::shared_ptr<ReadLimiter> ConnectionPool::GetReadLimiter(
    const Endpoint& server) {
  std::shared_ptr<ReadLimiter>& limiter = read_limiters_[server];
  if (!limiter) {
    limiter = std::make_shared<ReadLimiter>(clock_.Now());
  }
  if (!limiter_timer_) {
    limiter_timer_ =
        clock_.RunAfter(kLimiterCheckInterval, [this] { DropFullLimiters(); });
  }
  return limiter;
}

void ConnectionPool::DropFullLimiters() {
  limiter_timer_.reset();
  // The connections of a server share its limiter with the pool.
  std::erase_if(read_limiters_, [&](const auto& it) {
    return it.second.use_count() == 1 && it.second->IsFull(clock_.Now());
  });
  if (!read_limiters_.empty()) {
    limiter_timer_ =
        clock_.RunAfter(kLimiterCheckInterval, [this] { DropFullLimiters(); });
  }
}

void ConnectionPool::Return(std::unique_ptr<ClientConnection> connection) {
  connection->DetachDelegate();
  returned_.push_back(std::move(connection));
  ScheduleSweep();
}

void ConnectionPool::Discard(std::unique_ptr<ClientConnection> connection) {
  connection->Abandon();
  discarded_.push_back(std::move(connection));
  ScheduleSweep();
}

void ConnectionPool::ScheduleSweep() {
  if (!sweep_timer_) {
    sweep_timer_ = clock_.RunAfter(Duration::zero(), [this] { Sweep(); });
  }
}

void ConnectionPool::Sweep() {
  sweep_timer_.reset();
  discarded_.clear();
  for (auto& connection : std::exchange(returned_, {})) {
    AddIdle(std::move(connection));
  }
}

void ConnectionPool::AddIdle(std::unique_ptr<ClientConnection> connection) {
  if (!connection->IsReusable()) {
    return;
  }
  std::vector<IdleConnection>& idle = idle_[connection->server()];
  if (idle.size() >= settings_.max_idle_connections_per_server) {
    return;
  }
  idle.push_back({std::move(connection), clock_.Now()});
  if (!expiry_timer_) {
    expiry_timer_ =
        clock_.RunAfter(settings_.max_idle_time, [this] { DropExpired(); });
  }
}

void ConnectionPool::DropExpired() {
  expiry_timer_.reset();
  const MonotonicTime oldest = clock_.Now() - settings_.max_idle_time;
  for (auto& [server, idle] : idle_) {
    std::erase_if(idle, [&](const IdleConnection& it) {
      return it.idle_since <= oldest || !it.connection->IsReusable();
    });
  }
  std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
  if (!idle_.empty()) {
    expiry_timer_ =
        clock_.RunAfter(settings_.max_idle_time, [this] { DropExpired(); });
  }
}

}  // namespace kingcupdrift
