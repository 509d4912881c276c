#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_

#include <cstdint>
#include <map>

#include "kingcupdrift/admission/internal/token_bucket.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Checks the limits of one workspace against the usage of this entry (serving
/// process) and its peers.
class WorkspaceAccount {
 public:
  WorkspaceAccount(const WorkspaceConfig& config, MonotonicTime now);

  const WorkspaceConfig& config() const { return config_; }
  void SetConfig(const WorkspaceConfig& config, MonotonicTime now);

  /// Time until the limits allow a request; zero if they do now.
  Duration TimeUntilAllowed(MonotonicTime now);
  void Charge(TokenCount tokens, MonotonicTime now);
  void Refund(TokenCount tokens, MonotonicTime now);

  /// Charges the increase since the peer's last totals; the first ones are a
  /// baseline and charge nothing.
  void OnPeerTotals(const InstanceId& peer,
                    const WorkspaceUsage& totals,
                    MonotonicTime now);
  void ForgetPeer(const InstanceId& peer) { peers_.erase(peer); }

  /// Running totals of what this entry charged. They never fall: a refund
  /// lowers later increases instead of the totals.
  WorkspaceUsage LocalTotals() const;

 private:
  struct PeerTotals {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
  };

  WorkspaceConfig config_;
  TokenBucket requests_;
  TokenBucket tokens_;
  std::int64_t total_requests_ = 0;
  std::int64_t total_tokens_ = 0;
  /// Refunds not yet subtracted from the totals. Peers may have received the
  /// totals, which must never fall, so later charges are reduced instead.
  std::int64_t pending_refund_requests_ = 0;
  std::int64_t pending_refund_tokens_ = 0;
  std::map<InstanceId, PeerTotals> peers_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_
