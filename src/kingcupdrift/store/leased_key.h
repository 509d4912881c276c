#ifndef KINGCUPDRIFT_STORE_LEASED_KEY_H_
#define KINGCUPDRIFT_STORE_LEASED_KEY_H_

#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Keeps one value in the platform's store under a lease, from `Start` until
/// `Stop`. A lease that expires meanwhile is replaced by a new one with a new
/// key. If this object is destroyed without `Stop`, the value stays up to
/// `kTimeToLive` longer. Each write uses a new key, `prefix` plus a random
/// token. So a write without a reply need not be checked: a key it left
/// vanishes when its lease expires, and until then the value may be stored
/// twice.
class LeasedKey {
 public:
  LeasedKey(PlatformStore& store,
            Clock& clock,
            Random& random,
            std::string prefix,
            std::string value);

  void Start();
  /// Revokes the lease, which deletes the key soon after; if that fails, the
  /// lease expires by itself. Final: a later `Start` stores nothing.
  void Stop();
  /// The store was restored from an older copy of its contents: writes the
  /// value again under a new lease after a part of `kMaxRewriteDelay`, drawn at
  /// random. The earlier lease is neither renewed nor revoked, even if the
  /// store still has it: its ID may have been granted again to another process.
  void WriteAgain();

  /// Time to live of the lease: how long the value outlives a killed process.
  /// Long enough for several renewals, as the store may reject calls for a few
  /// seconds. Peers notice a death by missing heartbeats, long before.
  static constexpr Duration kTimeToLive = std::chrono::seconds(15);
  /// Interval from one successful renewal to the next, a third of
  /// `kTimeToLive`. A failed renewal is repeated every `kRetryDelay`.
  static constexpr Duration kRenewInterval = kTimeToLive / 3;
  /// Wait after a failed grant, write or renewal.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
  /// Spreads the writes of hundreds of entries over time. Short compared with
  /// the heartbeat timeout after which peers drop an entry without a key.
  static constexpr Duration kMaxRewriteDelay = std::chrono::milliseconds(500);

 private:
  void RequestLease();
  void Write(LeaseId lease);
  void Renew();
  void RetryLater();
  template <typename T>
  std::function<void(T)> BindToLifetime(std::function<void(T)> callback);

  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  std::string prefix_;
  std::string value_;
  LeaseId lease_;
  bool is_started_ = false;
  bool is_stopped_ = false;
  std::unique_ptr<Timer> timer_;
  // Expires with this object: callbacks of calls that outlive it do nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_LEASED_KEY_H_
