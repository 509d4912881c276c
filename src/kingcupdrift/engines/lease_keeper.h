#ifndef KINGCUPDRIFT_ENGINES_LEASE_KEEPER_H_
#define KINGCUPDRIFT_ENGINES_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

struct LeaseOptions {
  Duration time_to_live = std::chrono::seconds(15);
  Duration renew_interval = std::chrono::seconds(4);
  /// The holder stops acting this long before the lease can expire.
  Duration stop_margin = std::chrono::seconds(5);
  /// An action of a holder, such as a placement order, may still take effect
  /// this long after the holder checked the lease. A new holder waits this long
  /// before it acts.
  Duration max_effect_delay = std::chrono::seconds(10);
  /// Time before trying again to acquire, times a random factor from 0.5
  /// to 1.5.
  Duration retry_interval = std::chrono::seconds(5);
};

/// Competes with other instances for a lease over one key of the store, which
/// has at most one holder at a time.
///
/// The lease counts as held until the local monotonic clock says that it may
/// have expired, or the store answers a renewal that it is gone. Its time to
/// live counts from just before the grant or the last successful renewal was
/// sent. The fencing number is the store version of the write that took the
/// key; it grows with every holder.
class LeaseKeeper {
 public:
  /// Called with true when `IsHeld` becomes true. Called with false when the
  /// lease ends: at `Stop`, `stop_margin` before it can expire, or when the
  /// store answers that it is gone. If the process was paused, `IsHeld` is
  /// false before this call.
  using ChangeCallback = std::function<void(bool is_held)>;

  LeaseKeeper(Clock& clock,
              Random& random,
              PlatformStore& store,
              std::string key,
              InstanceId self,
              LeaseOptions options = {});
  /// Revokes nothing: without `Stop`, the lease expires at the store.
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Start(ChangeCallback on_change);
  /// Revokes the lease, if held, and stops trying to acquire it.
  void Stop();

  /// Lets this entry (serving process) try to acquire the lease or not;
  /// initially it does. Few candidates keep the store's load low. A holder
  /// keeps its lease. Must be true when `Start` is called: otherwise nothing is
  /// tried then, and a later true has no effect.
  void SetCandidate(bool is_candidate) { is_candidate_ = is_candidate; }

  /// True only while it is safe to act. Reads the clock at each call, so that a
  /// process that was paused until its lease expired does not act afterwards.
  bool IsHeld() const;
  /// Zero while not held.
  FencingNumber fencing_number() const;

 private:
  enum class State { kStopped, kIdle, kAcquiring, kHeld };

  void Acquire();
  void RequestLease();
  void ClaimKey(MonotonicTime sent_at);
  void OnKeyClaimed(StoreVersion version, MonotonicTime sent_at);
  void AwaitStart();
  void ScheduleRenewal();
  void Renew();
  void OnRenewed(const Result<void>& renewed, MonotonicTime sent_at);
  void WatchExpiry();
  void RevokeLeaseAndRetry();
  void EndHolding(State state);
  void RetryLater();
  void Notify();

  /// Wraps `callback` so that answers to earlier acquisitions and answers after
  /// destruction are dropped.
  template <typename T>
  std::function<void(Result<T>)> BindToEpoch(
      std::function<void(Result<T>)> callback);

  Clock& clock_;
  Random& random_;
  PlatformStore& store_;
  std::string key_;
  InstanceId self_;
  LeaseOptions options_;
  ChangeCallback on_change_;
  State state_ = State::kStopped;
  // Value written to the key: this instance and a random part.
  std::string token_;
  LeaseId lease_;
  FencingNumber fence_;
  MonotonicTime valid_until_{};
  MonotonicTime active_from_{};
  bool is_candidate_ = true;
  bool last_reported_held_ = false;
  // Counts acquisitions and their ends, to recognize late answers to earlier
  // ones.
  std::uint64_t epoch_ = 0;
  std::unique_ptr<Timer> renew_timer_;
  std::unique_ptr<Timer> start_timer_;
  std::unique_ptr<Timer> expiry_timer_;
  std::unique_ptr<Timer> retry_timer_;
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_LEASE_KEEPER_H_
