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
  /// The holder stops this long before the lease can end.
  Duration stop_margin = std::chrono::seconds(5);
  /// Longest time from the last check of the lease to the effect of what was
  /// then sent. A new holder waits this long before it acts.
  Duration max_effect_delay = std::chrono::seconds(10);
  /// Pause before trying again to acquire, jittered by half.
  Duration retry_interval = std::chrono::seconds(5);
};

/// Holds a lease over one key of the store, at most one holder at a time.
///
/// Whether the lease is held is judged by the monotonic clock alone, from the
/// time before the last successful renewal was sent. The fencing number is the
/// store version of the write that took the key; it grows with every holder.
class LeaseKeeper {
 public:
  /// Called when holding begins and ends.
  using ChangeCallback = std::function<void(bool is_held)>;

  LeaseKeeper(Clock& clock,
              Random& random,
              PlatformStore& store,
              std::string key,
              InstanceId self,
              LeaseOptions options = {});
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Start(ChangeCallback on_change);
  /// Gives the lease back, if held, and stops trying.
  void Stop();

  /// Whether this entry tries to acquire; true at first. Making few entries
  /// candidates spares the store. A holder keeps what it has.
  void SetCandidate(bool is_candidate) { is_candidate_ = is_candidate; }

  /// True only while it is safe to act. Reads the clock at each call, so that a
  /// holder that was paused past its lease finds out before it acts.
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

  /// Drops answers that come after destruction or to an earlier acquisition.
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
  std::string token_;
  LeaseId lease_;
  FencingNumber fence_;
  MonotonicTime valid_until_{};
  MonotonicTime active_from_{};
  bool is_candidate_ = true;
  bool was_reported_ = false;
  // Counts acquisitions, so that late answers to earlier ones are told apart.
  std::uint64_t epoch_ = 0;
  std::unique_ptr<Timer> renew_timer_;
  std::unique_ptr<Timer> start_timer_;
  std::unique_ptr<Timer> expiry_timer_;
  std::unique_ptr<Timer> retry_timer_;
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_LEASE_KEEPER_H_
