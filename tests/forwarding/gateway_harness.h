#ifndef TESTS_FORWARDING_GATEWAY_HARNESS_H_
#define TESTS_FORWARDING_GATEWAY_HARNESS_H_

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/gateway.h"
#include "tests/fakes/fake_peer_network.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"
#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {

/// Decodes "VERSION KEY..." as a configuration with these callers' keys, and
/// with a limit of cold engines if "cold" is one of the words, and
/// "STATE INCARNATION [SERVICE [DOMAIN]]" as a target of "plain" or of that
/// service. Keys "evacuate/DOMAIN" evacuate the failure domain.
class TextDecoder : public StateDecoder {
 public:
  ItemKind ClassifyKey(const std::string& key) const override;
  EngineId ParseTargetId(const std::string& key) const override;
  FailureDomain ParseEvacuatedDomain(const std::string& key) const override;
  Result<ServingConfig> DecodeConfig(const std::string& value) const override;
  Result<TargetRecord> DecodeTarget(const std::string& key,
                                    const std::string& value) const override;
};

/// How entries call the store, as on the users' platform.
FakeStoreOptions MakeStoreOptions();

/// One entry (serving process) with its own connections to the store and the
/// peers.
struct GatewayNode {
  GatewayNode(int number,
              const std::string& name,
              Clock& clock,
              Random& random,
              std::unique_ptr<FakeStore> store_client,
              FakePeerNetwork& network,
              const StateDecoder& decoder,
              double cores = 0);
  GatewayNode(int number,
              const std::string& name,
              Clock& clock,
              Random& random,
              StoreModel& model,
              FakePeerNetwork& network,
              const StateDecoder& decoder);

  /// Value of a gauge or counter without labels.
  std::string Metric(const std::string& name) const;
  /// "sent" if the request goes to a target, else the name of the refusal.
  std::string Ask(const std::string& key);
  /// Sends and answers one request with the key "kept"; whether it went to
  /// `id`.
  bool IsUsed(const std::string& id);
  /// It passes changes of the store on to the others.
  bool IsFirstReader() const;
  /// The process ends without a word.
  void Kill();

  bool is_running = true;
  Endpoint endpoint;
  std::unique_ptr<FakeStore> owned_store;
  FakeStore& store;
  FakePeerLink link;
  FakeTargetClient targets;
  std::string log_text;
  DecisionLog log;
  std::unique_ptr<Gateway> gateway;
};

/// Entries around one store that holds a configuration with the keys "old" and
/// "kept", and one target "t1".
struct GatewayHarness {
  explicit GatewayHarness(int count = 3,
                          Duration peer_delay = std::chrono::milliseconds(1));

  /// Starts entries at the first `count` addresses.
  void AddNodes(int count, const std::string& name);
  /// Starts one entry at address `number`.
  void AddNode(int number, const std::string& name);
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  /// The store is away for a moment and comes back with `snapshot`.
  void RestoreStore(const StoreModel::Snapshot& snapshot);
  std::size_t CountEntryRecords();

  ManualClock clock;
  SeededRandom random{1};
  StoreModel model{clock};
  FakePeerNetwork network;
  TextDecoder decoder;
  std::vector<std::unique_ptr<GatewayNode>> nodes;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_GATEWAY_HARNESS_H_
