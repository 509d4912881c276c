#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_H_

#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/internal/entry_context.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What is known of a request once its workspace and service are found.
struct RequestInfo {
  RequestId id;
  WorkspaceConfig workspace;
  ServiceConfig service;
  TokenCount prompt_tokens;
  MonotonicTime arrival{};
  MonotonicTime deadline{};
};

/// One caller's request from admission to its single end. The deadline runs
/// from arrival and bounds every wait; when it passes, `OnDeadline` ends the
/// request. The request table destroys it after the end, never inside a call.
class Request {
 public:
  Request(EntryContext& context,
          RequestInfo info,
          std::unique_ptr<CallerSink> sink);
  virtual ~Request() = default;
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;

  const RequestInfo& info() const { return info_; }
  const RequestId& id() const { return info_.id; }
  bool has_ended() const { return has_ended_; }

  /// Arms the deadline and begins the work.
  void Start();
  /// The caller's connection closed.
  void HandleCallerDisconnect();
  /// The caller's connection took bytes.
  virtual void OnCallerWritable() {}
  /// True if the request is served by this attempt now.
  virtual bool IsServedBy(const AttemptId& attempt) const = 0;

 protected:
  virtual void OnStart() = 0;
  virtual void OnDeadline() = 0;
  virtual void OnCallerDisconnected() = 0;

  EntryContext& context() { return context_; }
  /// Null after the caller went away or the request ended.
  CallerSink* sink() { return sink_.get(); }
  Duration TimeLeft() const;
  void RecordEvent(EventKind kind, const EngineId& engine, std::string detail);

  /// Each ends the request.
  void EndWithProblem(const Problem& problem);
  void EndWithAnswer(const AnswerEnd& end);
  void EndWithReply(const ServiceResponse& response);
  /// Ends without telling anybody, after the caller went away.
  void EndSilently(Outcome outcome, std::string_view detail);

 private:
  void Close(Outcome outcome, EventKind kind, std::string_view detail);

  EntryContext& context_;
  RequestInfo info_;
  std::unique_ptr<CallerSink> sink_;
  std::unique_ptr<Timer> deadline_timer_;
  bool has_ended_ = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_H_
