#ifndef KINGCUPDRIFT_ENTRY_ENTRY_H_
#define KINGCUPDRIFT_ENTRY_ENTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/entry_settings.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Interfaces that one entry (serving process) calls. All references must
/// outlive the entry.
struct EntryDependencies {
  Clock& clock;
  Random& random;
  PlatformStore& store;
  /// The platform's list of entry instances.
  InstanceList& instances;
  /// Calls engines of model services.
  EngineClient& engines;
  /// Calls engines of plain services.
  ServiceClient& services;
  PeerLink& peers;
};

/// Entries that callers of one workspace should use: its home entries in random
/// order, then others as fallback.
struct EntriesAnswer {
  std::vector<Endpoint> entries;
  /// Time for which a caller may cache this answer.
  Duration lifetime{0};
};

/// Summary for health checks and `config audit`.
struct EntryStatus {
  InstanceId instance;
  SiteId site;
  FailureDomain failure_domain;
  Incarnation incarnation;
  /// A configuration is in force and no drain has begun.
  bool is_ready = false;
  /// A drain has begun.
  bool is_leaving = false;
  Generation generation;
  /// Digest of the configuration in force (of its head record).
  std::string head_digest;
  /// Time at which that configuration came into force at this entry.
  WallTime in_force_since{};
  std::size_t requests_in_progress = 0;
};

/// One entry instance without sockets: routing, admission control, idempotency
/// and streaming, driven by calls, by the interfaces' callbacks and by the
/// clock.
class Entry {
 public:
  Entry(EntrySettings settings, EntryDependencies dependencies);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Joins the other entries and starts to follow the configuration.
  void Start();

  /// Each starts a request that ends through `sink`, possibly before the call
  /// returns. Returns the request's ID for HandleCallerDisconnect and
  /// HandleCallerWritable; empty if the request was refused or has ended.
  RequestId Complete(CompletionCall call, std::unique_ptr<CallerSink> sink);
  RequestId CallService(PlainCall call, std::unique_ptr<CallerSink> sink);
  RequestId Resume(const ResumeCall& call, std::unique_ptr<CallerSink> sink);

  /// The caller's connection closed. Destroys the request's sink and cancels
  /// its work, except that a non-idempotent call already sent runs on to its
  /// reply. Ignores unknown IDs, as the next method does.
  void HandleCallerDisconnect(const RequestId& request);
  /// The caller's connection can take more bytes: resumes reading a stream that
  /// was paused because the caller was slow.
  void HandleCallerWritable(const RequestId& request);

  EntriesAnswer ListEntries(const WorkspaceId& workspace) const;
  EntryStatus GetStatus() const;

  /// Begins a planned stop: new requests are refused with a redirect to another
  /// entry, requests in progress finish.
  void StartDrain();
  /// True after StartDrain once `entries_lifetime` has passed, no request is in
  /// progress, and all results are durable and all reservations released. After
  /// 30 s without requests, pending results and unreleased reservations no
  /// longer count; the entry checks once per second whether it has requests.
  bool IsDrained() const;

  /// Prometheus text of all metrics.
  std::string GetMetricsText() const;
  /// Events of the time line as JSON lines, for the `timeline` command. Empty
  /// filters match all events.
  std::string GetTimelineJson(const std::string& request_filter,
                              const std::string& workspace_filter) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_ENTRY_H_
