#ifndef KINGCUPDRIFT_ENTRY_ENTRY_H_
#define KINGCUPDRIFT_ENTRY_ENTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/entry_settings.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The outside world of one entry. All references outlive the entry.
struct EntryDependencies {
  Clock& clock;
  Random& random;
  PlatformStore& store;
  InstanceList& instances;
  EngineClient& engines;
  ServiceClient& services;
  PeerLink& peers;
};

/// Addresses that callers of one workspace use, best first.
struct EntriesAnswer {
  std::vector<Endpoint> entries;
  Duration lifetime{0};
};

/// Summary for health checks and `config audit`.
struct EntryStatus {
  InstanceId instance;
  SiteId site;
  FailureDomain failure_domain;
  Incarnation incarnation;
  bool is_ready = false;
  bool is_leaving = false;
  Generation generation;
  std::string head_digest;
  WallTime in_force_since{};
  std::size_t requests_in_progress = 0;
};

/// One entry instance without sockets: every decision of the product, driven by
/// calls, by the interfaces' callbacks and by the clock.
class Entry {
 public:
  Entry(EntrySettings settings, EntryDependencies dependencies);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Joins the other entries and reads the configuration.
  void Start();

  /// Each call ends through `sink`, possibly before it returns. The identifier
  /// serves HandleCallerDisconnect.
  RequestId Complete(CompletionCall call, std::unique_ptr<CallerSink> sink);
  RequestId CallService(PlainCall call, std::unique_ptr<CallerSink> sink);
  RequestId Resume(const ResumeCall& call, std::unique_ptr<CallerSink> sink);

  /// The caller's connection closed. Its work is cancelled unless it is
  /// non-idempotent and already sent. The sink is destroyed.
  void HandleCallerDisconnect(const RequestId& request);
  /// The caller's connection took bytes; paused streams may go on.
  void HandleCallerWritable(const RequestId& request);

  EntriesAnswer ListEntries(const WorkspaceId& workspace) const;
  EntryStatus GetStatus() const;

  /// Begins a planned stop: new work is redirected, running work finishes.
  void StartDrain();
  bool IsDrained() const;

  /// Prometheus text of all metrics.
  std::string GetMetricsText() const;
  /// The event ring as JSON lines, for `timeline`. Empty filters match all.
  std::string GetTimelineJson(const std::string& request_filter,
                              const std::string& workspace_filter) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_ENTRY_H_
