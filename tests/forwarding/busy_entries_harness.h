#ifndef TESTS_FORWARDING_BUSY_ENTRIES_HARNESS_H_
#define TESTS_FORWARDING_BUSY_ENTRIES_HARNESS_H_

#include <memory>
#include <string>
#include <vector>

#include "tests/fakes/busy_clock.h"
#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {

/// What an entry (serving process) has of its machine.
struct EntryMachine {
  double cores = 1;
  double link_bytes_per_second = 125e6;
};

/// One entry whose work takes processor time, and whose link carries the
/// store's answers one after the other.
struct BusyNode {
  BusyNode(int number,
           const EntryMachine& machine,
           ManualClock& base,
           Random& random,
           StoreModel& model,
           FakePeerNetwork& network);
  ~BusyNode();

  EntryMachine machine;
  BusyClock clock;
  /// Version of the configuration that the entry decoded last.
  Generation version;
  std::unique_ptr<StateDecoder> decoder;
  std::unique_ptr<GatewayNode> node;
};

/// Entries around one store. Of eight, one has half a core and a link of 200
/// Mbit/s, the others 0.12 of a core and 20 Mbit/s, as on the operators' large
/// deployments.
struct BusyHarness {
  explicit BusyHarness(int count);
  ~BusyHarness();

  /// Stores version N, as large as a configuration with 1,400 routes.
  void PutConfig(int version);
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  /// Advances the clock; meanwhile requests take `load` of each processor.
  void Run(Duration duration, double load);

  /// Entries that do not follow version N yet.
  int CountBehind(int version) const;
  /// Whether any entry sends a request to the target.
  bool IsUsedAnywhere(const std::string& id);

  ManualClock clock;
  SeededRandom random{1};
  StoreModel model{clock};
  FakePeerNetwork network{std::chrono::milliseconds(5), clock};
  std::vector<std::unique_ptr<BusyNode>> nodes;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_BUSY_ENTRIES_HARNESS_H_
