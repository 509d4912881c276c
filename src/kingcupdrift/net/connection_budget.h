#ifndef KINGCUPDRIFT_NET_CONNECTION_BUDGET_H_
#define KINGCUPDRIFT_NET_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

class ConnectionBudget;

/// A client's connection whose bytes and descriptor are counted.
class BudgetedConnection {
 public:
  virtual ~BudgetedConnection() = default;
  /// Bytes that have arrived in the kernel and were not read. May find that the
  /// client has left, and then destroys the connection.
  virtual ByteCount ReadKernelBytes() = 0;
  /// Refuses or aborts the request and frees its bytes.
  virtual void Shed() = 0;
  /// Closes the connection, which handles no request. Destroys it.
  virtual void Evict() = 0;
};

/// The account of one connection, from its acceptance to its end. Must not
/// outlive the budget.
class ConnectionAccount {
 public:
  ConnectionAccount(ConnectionBudget& budget, BudgetedConnection& connection);
  ~ConnectionAccount();
  ConnectionAccount(const ConnectionAccount&) = delete;
  ConnectionAccount& operator=(const ConnectionAccount&) = delete;

  /// A request begins; later ones yield first.
  void BeginRequest();
  /// The client has sent or taken so many bytes.
  void AddProgress(ByteCount bytes);
  /// A request is being handled. Such a connection is not evicted, and is shed
  /// only while it is blocked.
  void SetBusy(bool is_busy) { is_busy_ = is_busy; }
  /// The client sends more than the connection reads while a request is being
  /// handled.
  void SetBlocked(bool is_blocked);
  /// Sets the bytes that the process holds for the connection. May shed this
  /// or another connection.
  void SetHeld(ByteCount bytes);

  bool is_blocked() const { return is_blocked_; }
  ByteCount held() const { return held_ + in_kernel_; }

 private:
  friend class ConnectionBudget;

  void SetInKernel(ByteCount bytes);

  ConnectionBudget& budget_;
  BudgetedConnection& connection_;
  ByteCount held_;
  // As of the last sample. Zero while no samples are taken.
  ByteCount in_kernel_;
  std::uint64_t request_number_ = 0;
  // Bytes since `progress_at_`, at which the last step of progress was made.
  ByteCount progress_;
  MonotonicTime progress_at_{};
  bool is_busy_ = false;
  bool is_blocked_ = false;
};

struct ConnectionBudgetSettings {
  /// Bytes that clients' connections may take together, less the bytes that
  /// `ConnectionBudget::SetOtherBytes` reports. Absent: no bound.
  std::optional<ByteCount> max_bytes;
  /// Connections that clients may have open. Absent: no bound.
  std::optional<std::size_t> max_connections;
};

/// Bounds the bytes and descriptors that clients make the process hold before
/// the handler of a request has them, over all HTTP servers of the process:
/// unfinished heads and bodies, bytes behind a request that is being handled,
/// and idle connections.
///
/// Beyond `max_bytes` requests are shed: first the largest of those whose
/// clients have sent less than `kProgressStep` in `kStallTime`, then, of those
/// that hold more than `kLargeRequestBytes`, the one that began last, so that
/// others finish, then the largest. Requests of `kSmallRequestBytes` or less
/// are shed only if they stall.
///
/// Beyond `max_connections` the connection without progress for the longest
/// time is closed, unless it handles a request.
class ConnectionBudget {
 public:
  /// `clock` outlives the budget.
  ConnectionBudget(Clock& clock, const ConnectionBudgetSettings& settings)
      : clock_(clock), settings_(settings), log_("connections", clock) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  /// `read_other_bytes` returns what is held elsewhere and shares `max_bytes`.
  void SetOtherBytes(std::function<ByteCount()> read_other_bytes) {
    read_other_bytes_ = std::move(read_other_bytes);
  }

  /// Makes room for a connection whose account is open already, if there are
  /// too many. False if there is no room for it.
  bool MakeRoomFor(const ConnectionAccount& added);
  /// Closes the connection without progress for the longest time. False if
  /// there is none that may be closed.
  bool EvictOne(const ConnectionAccount* spared);

  bool has_byte_limit() const { return settings_.max_bytes.has_value(); }
  /// The connections hold less than half of what they may.
  bool HasAmpleRoom(ByteCount bytes) const;
  ByteCount held() const { return held_; }
  std::size_t CountConnections() const { return accounts_.size(); }
  std::uint64_t shed_requests() const { return shed_requests_; }
  std::uint64_t evicted_connections() const { return evicted_connections_; }
  std::uint64_t refused_connections() const { return refused_connections_; }

  /// A connection stalls if it makes less than a step of progress in this time.
  static constexpr Duration kStallTime = std::chrono::seconds(4);
  static constexpr ByteCount kProgressStep{16'000};
  static constexpr ByteCount kLargeRequestBytes{64'000};
  static constexpr ByteCount kSmallRequestBytes{8'000};
  /// Interval of the samples of the kernel's bytes, which are taken while the
  /// connections hold more than half of what they may or one is blocked. They
  /// also find out that the client of a blocked connection has left.
  static constexpr Duration kSampleInterval = std::chrono::milliseconds(200);

 private:
  friend class ConnectionAccount;

  ByteCount GetByteLimit() const;
  bool IsOverLimit() const;
  bool NeedsSamples() const;
  void ScheduleSample();
  void Sample();
  /// Sheds requests until the total is below the limit.
  void Shed();
  ConnectionAccount* FindShedCandidate() const;
  bool IsStalled(const ConnectionAccount& account) const;

  Clock& clock_;
  ConnectionBudgetSettings settings_;
  RateLimitedLogger log_;
  std::function<ByteCount()> read_other_bytes_;
  std::set<ConnectionAccount*> accounts_;
  ByteCount held_;
  std::size_t blocked_ = 0;
  std::uint64_t last_request_number_ = 0;
  bool is_shedding_ = false;
  // No request can be shed before this time.
  MonotonicTime next_shed_at_{};
  std::uint64_t shed_requests_ = 0;
  std::uint64_t evicted_connections_ = 0;
  std::uint64_t refused_connections_ = 0;
  std::unique_ptr<Timer> sample_timer_;
};

/// Counters and gauges in Prometheus text exposition format.
std::string FormatConnectionMetrics(const ConnectionBudget& budget);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_CONNECTION_BUDGET_H_
