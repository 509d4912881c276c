#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_RESUME_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_RESUME_REQUEST_H_

#include <cstdint>
#include <memory>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/entry/internal/request.h"
#include "kingcupdrift/streaming/streaming.h"

namespace kingcupdrift {

/// Continues a stream that this or another entry began, at the engine that the
/// caller's resume token names. This entry does not have the prompt, so the
/// request ends as failed if the engine has lost the stream.
class ResumeRequest : public Request, private StreamSessionObserver {
 public:
  /// `encoded_token` is the text of `token`, returned to the caller unchanged.
  ResumeRequest(EntryContext& context,
                RequestInfo info,
                ResumeToken token,
                std::string encoded_token,
                EngineAddress engine,
                std::uint64_t received_tokens,
                std::unique_ptr<CallerSink> sink);

  void OnCallerWritable() override;
  bool IsServedBy(const AttemptId& attempt) const override;

 private:
  // Request:
  void OnStart() override;
  void OnDeadline() override;
  void OnCallerDisconnected() override;

  // StreamSessionObserver:
  void OnAccepted(TokenCount cached) override;
  void OnChunk(const AnswerChunk& chunk) override;
  void OnFinished(const AnswerEnd& end) override;
  void OnResumed(std::uint64_t offset) override;
  void OnAttemptFailed(const AttemptFailure& failure) override;

  void BeginAnswer();
  void Fail(ProblemType type, const std::string& detail);

  ResumeToken token_;
  std::string encoded_token_;
  EngineAddress engine_;
  std::uint64_t received_tokens_;
  StreamSession session_;
  bool has_begun_answer_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_RESUME_REQUEST_H_
