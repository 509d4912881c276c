#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_REQUEST_H_

#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/internal/entry_context.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Data of a request, set once its workspace and service are found.
struct RequestInfo {
  RequestId id;
  WorkspaceConfig workspace;
  ServiceConfig service;
  /// 0 for plain services.
  TokenCount prompt_tokens;
  MonotonicTime arrival{};
  MonotonicTime deadline{};
};

/// One caller's request, from before admission until it ends exactly once. The
/// deadline runs from arrival and bounds every wait; when it passes,
/// `OnDeadline` ends the request. The request table destroys an ended request
/// later, never inside one of its calls.
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

  /// Starts the deadline's timer, then calls OnStart.
  void Start();
  /// The caller's connection closed: destroys the sink, then calls
  /// OnCallerDisconnected.
  void HandleCallerDisconnect();
  /// The caller's connection can take more bytes.
  virtual void OnCallerWritable() {}
  /// True if this attempt serves the request now. If not, what the attempt
  /// still holds at engines may be released by the HoldingSweeper.
  virtual bool IsServedBy(const AttemptId& attempt) const = 0;

 protected:
  virtual void OnStart() = 0;
  virtual void OnDeadline() = 0;
  virtual void OnCallerDisconnected() = 0;

  EntryContext& context() { return context_; }
  /// Null after the caller disconnected or the request ended.
  CallerSink* sink() { return sink_.get(); }
  Duration TimeLeft() const;
  /// Adds an event of this request to the time line.
  void RecordEvent(EventKind kind, const EngineId& engine, std::string detail);

  /// Each ends the request: with a problem, after a stream of tokens, or with a
  /// plain service's whole response.
  void EndWithProblem(const Problem& problem);
  void EndWithAnswer(const AnswerEnd& end);
  void EndWithReply(const ServiceResponse& response);
  /// Ends the request without an answer, after the caller disconnected.
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
