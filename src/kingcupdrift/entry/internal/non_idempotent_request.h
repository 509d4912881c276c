#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_NON_IDEMPOTENT_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_NON_IDEMPOTENT_REQUEST_H_

#include <memory>

#include "kingcupdrift/entry/internal/plain_request.h"
#include "kingcupdrift/idempotency/idempotency.h"

namespace kingcupdrift {

/// A non-idempotent call: runs at most once for its idempotency key.
///
/// The journal stores the intent to run durably before anything is sent. After
/// that the call ends in one of three ways: with a reply, which the journal
/// stores; with `not_run`, when nothing was sent and the journal has replaced
/// the intent by a tombstone, so that this attempt can never run; or with
/// `unknown`, also when the deadline passes during a journal write.
class NonIdempotentRequest : public PlainRequest {
 public:
  NonIdempotentRequest(EntryContext& context,
                       RequestInfo info,
                       PlainCall call,
                       IdempotencyKey key,
                       std::unique_ptr<CallerSink> sink);

 private:
  enum class State {
    kNew,
    kWritingIntent,
    kSending,
    kWritingTombstone,
    kEnded
  };

  // PlainRequest:
  void OnAdmitted() override;
  void OnAnswer(const EngineAddress& target,
                Result<ServiceResponse> answer) override;
  // Request:
  void OnDeadline() override;
  void OnCallerDisconnected() override;

  void OnBeginResult(const BeginResult& begin_result);
  void ReplyWithStoredResult(const StoredResult& result);
  void SendToEngine();
  void Complete(const ServiceResponse& response);
  void Abandon(ProblemType type, const std::string& detail);
  void EndUnknown(ProblemType type, const std::string& detail);
  std::uint64_t ComputeFingerprint() const;

  IdempotencyKey key_;
  AttemptId attempt_;
  State state_ = State::kNew;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_NON_IDEMPOTENT_REQUEST_H_
