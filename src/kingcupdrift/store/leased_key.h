#ifndef KINGCUPDRIFT_STORE_LEASED_KEY_H_
#define KINGCUPDRIFT_STORE_LEASED_KEY_H_

#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Keeps one value in the platform's store for as long as this process lives.
/// Each write goes to a fresh key, so that no effect of an unanswered write has
/// to be resolved; what an earlier one left ends with its lease.
class LeasedKey {
 public:
  LeasedKey(PlatformStore& store,
            Clock& clock,
            Random& random,
            std::string prefix,
            std::string value);

  void Start();
  /// Takes the value away.
  void Stop();

  /// How long the value outlives a killed process. Calls may be rejected for a
  /// few seconds, so that it spans several renewals.
  static constexpr Duration kTimeToLive = std::chrono::seconds(5);
  /// A third of `kTimeToLive`: two renewals may fail.
  static constexpr Duration kRenewInterval = kTimeToLive / 3;
  /// Wait after a failed call.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

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
  bool is_stopped_ = false;
  std::unique_ptr<Timer> timer_;
  // Expires with the owner, for calls that outlive it.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_LEASED_KEY_H_
