#ifndef TESTS_FAKES_CLUSTER_NODE_H_
#define TESTS_FAKES_CLUSTER_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/entry/entry.h"
#include "tests/fakes/delayed_task_runner.h"
#include "tests/fakes/engine_fleet.h"
#include "tests/fakes/fake_engine_client.h"
#include "tests/fakes/fake_instance_list.h"
#include "tests/fakes/fake_peer_network.h"
#include "tests/fakes/fake_service.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/freezable_clock.h"
#include "tests/fakes/store_model.h"

namespace kingcupdrift::fakes {

/// The fakes that the entries (serving processes) of a cluster share.
struct ClusterNetwork {
  Clock& clock;
  StoreModel& store;
  InstanceListModel& list;
  FakePeerNetwork& peers;
  EngineFleet& engines;
  ServiceFleet& services;
};

/// One entry process: a real Entry, its own clock and its clients.
class ClusterNode {
 public:
  ClusterNode(EntrySettings settings,
              std::uint64_t seed,
              const ClusterNetwork& network);
  ~ClusterNode();

  Entry& entry() { return entry_; }
  const EntrySettings& settings() const { return settings_; }
  FreezableClock& clock() { return clock_; }
  FakeStore& store() { return store_; }
  /// Delivers requests and signals to the process in order; they wait while it
  /// is frozen.
  DelayedTaskRunner& inbox() { return inbox_; }

  /// Closes the store, engine, service and peer clients: they send nothing from
  /// now on, also while the node is destroyed, except that engine streams can
  /// still be opened. The entry's timers run until the node is destroyed, which
  /// must follow at once.
  void CloseClients();

  /// Time of the request to drain.
  std::optional<MonotonicTime> drain_started_at;
  /// Highest generation observed in force.
  Generation generation;

 private:
  EntrySettings settings_;
  FreezableClock clock_;
  SeededRandom random_;
  FakeStore store_;
  FakeInstanceList list_;
  FakeEngineClient engines_;
  FakeServiceClient services_;
  FakePeerLink peers_;
  Entry entry_;
  DelayedTaskRunner inbox_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_NODE_H_
