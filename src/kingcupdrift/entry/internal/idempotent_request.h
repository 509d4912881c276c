#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_IDEMPOTENT_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_IDEMPOTENT_REQUEST_H_

#include <memory>

#include "kingcupdrift/entry/internal/plain_request.h"

namespace kingcupdrift {

/// A call to a plain service that the configuration does not mark as
/// non-idempotent. It is retried at another engine, or at one that failed if no
/// other is usable, within the service's retry budget; POST and PATCH, which
/// HTTP does not define as idempotent, are retried only if nothing was sent.
class IdempotentRequest : public PlainRequest {
 public:
  using PlainRequest::PlainRequest;

 private:
  // PlainRequest:
  void OnAdmitted() override;
  void OnAnswer(const EngineAddress& target,
                Result<ServiceResponse> answer) override;
  // Request:
  void OnDeadline() override;
  void OnCallerDisconnected() override;

  bool IsRepeatable() const;
  void SendAttempt();
  void Fail(ProblemType type, const std::string& detail);

  std::unique_ptr<Timer> retry_timer_;
  int retries_ = 0;
  bool may_have_run_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_IDEMPOTENT_REQUEST_H_
