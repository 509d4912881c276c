#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_PLAIN_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_PLAIN_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/entry/internal/request.h"

namespace kingcupdrift {

/// A call to a plain service. Base of idempotent and non-idempotent calls:
/// admission and the sending of one attempt.
class PlainRequest : public Request {
 public:
  PlainRequest(EntryContext& context,
               RequestInfo info,
               PlainCall call,
               std::unique_ptr<CallerSink> sink);
  ~PlainRequest() override;

  bool IsServedBy(const AttemptId& attempt) const override;

 protected:
  /// The attempt ended with a response or an error. kUnavailable: nothing was
  /// sent; after other errors the call may have run.
  virtual void OnAnswer(const EngineAddress& target,
                        Result<ServiceResponse> answer) = 0;
  virtual void OnAdmitted() = 0;

  void OnStart() final;

  /// Sends an attempt to an engine not in `excluded`; false if none is usable.
  /// A failure on a reused connection can leave it unknown whether the engine
  /// took the call, which `needs_new_connection` avoids.
  bool Send(const AttemptId& attempt, bool needs_new_connection);
  /// Closes the running call, if any.
  void StopCall();
  bool has_open_call() const { return target_.has_value(); }
  const PlainCall& call() const { return call_; }
  std::vector<EngineId>& excluded() { return excluded_; }

 private:
  void OnCallEnded(Result<ServiceResponse> answer);

  PlainCall call_;
  AttemptId attempt_;
  std::optional<EngineAddress> target_;
  std::unique_ptr<ServiceCall> service_call_;
  std::vector<EngineId> excluded_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_PLAIN_REQUEST_H_
