#ifndef TESTS_FAKES_CLUSTER_H_
#define TESTS_FAKES_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/entry/entry.h"
#include "tests/fakes/cluster_call.h"
#include "tests/fakes/cluster_node.h"
#include "tests/fakes/cluster_operator.h"
#include "tests/fakes/engine_fleet.h"
#include "tests/fakes/fake_instance_list.h"
#include "tests/fakes/fake_peer_network.h"
#include "tests/fakes/fake_service.h"
#include "tests/fakes/manual_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift::fakes {

struct ClusterOptions {
  int entries = 3;
  int engines = 4;
  int services = 1;
  bool is_fencing_enforced = true;
  TokenCount engine_memory{400'000};
  double prefill_rate = 20'000;
  Duration list_lag = std::chrono::seconds(2);
  std::uint64_t seed = 1;
};

/// Several real entries (serving processes) that share one set of fakes and a
/// manual clock. Entries are named "a", "b", ..., engines "e1", "e2", ...,
/// plain services "p1", ....
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Approves the first configuration, starts the entries and waits until each
  /// is ready. Returns false if that takes longer than a minute.
  bool Start();

  /// Advances the clock by `step`. Meanwhile an entry whose generation goes
  /// back is recorded as a violation; CheckAll checks the other invariants.
  void Advance(Duration step);
  bool AdvanceUntil(const std::function<bool()>& is_done, Duration time_limit);

  // Entries.
  void StartEntry(const std::string& name);
  /// Ends the process at once and interrupts its callers' connections. The
  /// platform's list drops the entry after its lag.
  void KillEntry(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  /// Asks the process to stop, as SIGTERM does, and marks it as draining in the
  /// platform's list. A poll every 100 ms kills it once it is drained.
  void Drain(const std::string& name);
  /// Null while the entry is not running.
  ClusterNode* FindNode(const std::string& name);
  std::map<std::string, std::unique_ptr<ClusterNode>>& nodes() {
    return nodes_;
  }

  // Callers.
  ClusterCall& Submit(const std::string& entry,
                      const std::string& name,
                      const CompletionSpec& spec);
  /// `key` names an idempotency key, created at its first use.
  ClusterCall& SubmitOrder(const std::string& entry,
                           const std::string& name,
                           const std::string& key,
                           Duration time_limit);
  /// Resumes call `earlier` at `entry`, after the tokens its caller received.
  ClusterCall& Resume(const std::string& entry,
                      const std::string& name,
                      const std::string& earlier);
  /// The caller closes its connection.
  void DisconnectCaller(const std::string& name);
  /// Null for an unknown call.
  ClusterCall* FindCall(const std::string& name);
  const std::map<std::string, std::unique_ptr<ClusterCall>>& calls() const {
    return calls_;
  }

  /// Idempotency key of a name, created at its first use.
  std::string GetIdempotencyKey(const std::string& name);

  // Operators.
  /// Submits and approves a changed configuration; the result appears in
  /// `approvals()`.
  void Approve(const std::string& operator_name);
  /// Results by operator: "pending", "approved", or the name of an error code.
  const std::map<std::string, std::string>& approvals() const {
    return approvals_;
  }
  /// Highest generation whose approval was confirmed, and the time of that.
  Generation approved_generation() const { return approved_; }
  MonotonicTime approved_at() const { return approved_at_; }

  ManualClock& clock() { return clock_; }
  StoreModel& store() { return store_; }
  InstanceListModel& list() { return list_; }
  FakePeerNetwork& peers() { return peers_; }
  EngineFleet& engines() { return engines_; }
  ServiceFleet& services() { return services_; }
  const ClusterOptions& options() const { return options_; }

  /// Violations recorded during the run, as text with the time: generations
  /// that went back and those of AddViolation. CheckAll finds the others.
  const std::vector<std::string>& violations() const { return violations_; }
  void AddViolation(const std::string& text);

 private:
  ConfigDocuments MakeDocuments(int revision) const;
  void PollEntries();
  void CheckGenerations();
  void RemoveDrainedEntries();
  void RemoveFromList(const std::string& name);
  ClusterCall& AddCall(const std::string& entry, const std::string& name);
  void Deliver(ClusterCall& call,
               const std::string& entry,
               std::function<void(Entry&, std::unique_ptr<CallerSink>)> action);

  ClusterOptions options_;
  ManualClock clock_;
  StoreModel store_;
  InstanceListModel list_;
  FakePeerNetwork peers_;
  EngineFleet engines_;
  ServiceFleet services_;
  std::map<std::string, std::unique_ptr<ClusterNode>> nodes_;
  std::map<std::string, std::unique_ptr<ClusterCall>> calls_;
  std::map<std::string, std::string> keys_;
  int revision_ = 0;
  std::map<std::string, std::unique_ptr<ClusterOperator>> operators_;
  std::map<std::string, std::string> approvals_;
  Generation approved_;
  MonotonicTime approved_at_;
  std::vector<std::string> violations_;
  std::unique_ptr<Timer> entry_poll_timer_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_H_
