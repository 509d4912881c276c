#ifndef KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_
#define KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_

#include <cstdint>
#include <map>

#include "kingcupdrift/admission/internal/token_bucket.h"
#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Limits of one workspace: what this entry and its peers used.
class WorkspaceAccount {
 public:
  WorkspaceAccount(const WorkspaceConfig& config, MonotonicTime now);

  const WorkspaceConfig& config() const { return config_; }
  void SetConfig(const WorkspaceConfig& config, MonotonicTime now);

  /// Zero when a request may pass, else the time until one may.
  Duration TimeUntilAllowed(MonotonicTime now);
  void Charge(TokenCount tokens, MonotonicTime now);
  void Refund(TokenCount tokens, MonotonicTime now);

  void OnPeerTotals(const InstanceId& peer,
                    const WorkspaceUsage& totals,
                    MonotonicTime now);
  void ForgetPeer(const InstanceId& peer) { peers_.erase(peer); }

  WorkspaceUsage Totals() const;

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
  /// Given back but already told to peers: offsets later charges, since totals
  /// never fall.
  std::int64_t pending_refund_requests_ = 0;
  std::int64_t pending_refund_tokens_ = 0;
  std::map<InstanceId, PeerTotals> peers_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_INTERNAL_WORKSPACE_ACCOUNT_H_
