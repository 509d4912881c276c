#ifndef TESTS_SCENARIOS_RANDOM_WALK_H_
#define TESTS_SCENARIOS_RANDOM_WALK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "tests/fakes/cluster.h"

namespace kingcupdrift::scenarios {

/// Runs a random sequence of requests and faults, drawn from a seed, over one
/// cluster. Afterwards all faults end, and the cluster gets time to recover.
class RandomWalk {
 public:
  explicit RandomWalk(std::uint64_t seed);

  /// Returns the invariants that were violated, as text.
  std::vector<std::string> Run();
  /// The steps taken, one a line, with the time of each.
  const std::string& log() const { return log_; }

 private:
  struct Step;

  static const std::vector<Step>& Steps();
  void LogStep(const std::string& text);
  std::string AnyEntry();
  EngineId AnyEngine();
  std::string AnyCall();

  void Submit();
  void SubmitLarge();
  void SubmitOrder();
  void RepeatOrder();
  void Resume();
  void DisconnectCaller();
  void KillEntry();
  void FreezeEntry();
  void DrainEntry();
  void StartEntries();
  void CutPeers();
  void KillEngine();
  void FaultEngine();
  void LoseEngineReply();
  void StoreDown();
  void StoreSlow();
  void LoseStoreReplies();
  void DelayStoreWrites();
  void SilenceStore();
  void FaultService();
  void Approve();
  void HealAll();
  /// Ends all faults, starts or thaws every entry (a serving process), and
  /// waits until all requests have ended and the entries' sweepers have
  /// released expired engine memory.
  void RecoverAndWait();

  SeededRandom random_;
  fakes::Cluster cluster_;
  std::string log_;
  int calls_ = 0;
  int keys_ = 0;
};

}  // namespace kingcupdrift::scenarios

#endif  // TESTS_SCENARIOS_RANDOM_WALK_H_
