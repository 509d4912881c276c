#ifndef TESTS_FORWARDING_MODEL_ENGINES_HARNESS_H_
#define TESTS_FORWARDING_MODEL_ENGINES_HARNESS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {

/// Entries before model engines and plain targets. One of them ends when it
/// begins to answer a request with a crashing part or body, and is back after a
/// while as another one.
class ModelEnginesHarness : public GatewayHarness {
 public:
  /// `peer_delay` is that of each message between entries.
  explicit ModelEnginesHarness(
      int entries,
      Duration peer_delay = std::chrono::milliseconds(1),
      int engines = kEngines);

  /// Sends a prompt with these shared parts to the entry `node`.
  std::shared_ptr<CallerRecord> Ask(std::size_t node,
                                    const std::vector<std::string>& parts);
  /// Sends a request with this path and body to the entry `node`.
  std::shared_ptr<CallerRecord> Ask(std::size_t node,
                                    const std::string& path,
                                    const std::string& body);
  /// Replaces all targets of the plain service by `count` new ones.
  void AddPlainTargets(int count);
  /// Lets the engines work for `kStep`.
  void Step();
  void Steps(int count);
  /// Ends the engine: its connections break and it answers no check.
  void Crash(const EngineId& engine);
  /// Model engines and plain targets.
  std::vector<EngineId> ListEngines() const;

  /// Requests with a crashing part or body that reached engines, repeats
  /// included.
  int CountCrashingSends() const;
  int crashes() const { return crashes_; }
  std::size_t size() const { return nodes.size(); }

  /// Requests that each engine got, by step.
  const std::map<EngineId, std::vector<int>>& arrivals() const {
    return arrivals_;
  }
  int step() const { return step_; }

  /// How an entry is cut off from all engines.
  enum class Cut {
    kNone,
    /// Open connections and new ones hang.
    kHang,
    /// Open connections are reset, new ones hang.
    kReset,
    /// Open connections work, new ones are refused.
    kRefuse,
  };
  void SetCut(std::size_t node, Cut cut);

  std::set<PromptPartId> crashing_parts;
  std::set<std::string> crashing_bodies;
  /// Requests a second that engines name as their limit in each answer.
  std::map<EngineId, double> limits;

  /// Status with which plain targets answer a request that they have run.
  int plain_status = 200;

  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr int kEngines = 24;
  /// Steps in which a crashed engine is away.
  int restart_steps = 40;
  /// A crashed engine is back under the identifier that it had.
  bool keeps_id = false;
  /// Engines that answer nothing and keep their connections.
  std::set<EngineId> silent;

 private:
  struct Restart {
    int step = 0;
    EngineId engine;
    std::string service;
  };

  void AddEngine(const std::string& service);
  void RestartEngine(const Restart& restart);
  /// Carries out the cut of the node's connections; true if the send gets no
  /// answer.
  bool IsCut(const GatewayNode& node, TargetSend& send);
  bool IsCrashing(const TargetSend& send) const;
  /// Passes a relayed call on to its entry.
  void DeliverRelay(const std::shared_ptr<TargetSend>& send);
  void AnswerSend(GatewayNode& node, TargetSend& send);

  /// Services of the running engines.
  std::map<EngineId, std::string> engines_;
  std::vector<Restart> restarts_;
  std::map<const GatewayNode*, Cut> cuts_;
  // Sends of each entry that was cut off, from before the cut.
  std::map<const GatewayNode*, std::set<const TargetSend*>> sends_before_cut_;
  // Relayed calls that reached their entry, by entry.
  std::map<std::shared_ptr<TargetSend>, GatewayNode*> relays_;
  std::map<RequestId, int> events_;
  std::map<EngineId, std::vector<int>> arrivals_;
  // Sends of each entry that are in `arrivals_`.
  std::map<const GatewayNode*, std::size_t> counted_sends_;
  int next_engine_ = 0;
  int next_incarnation_ = 1;
  int next_request_ = 0;
  int step_ = 0;
  int crashes_ = 0;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_MODEL_ENGINES_HARNESS_H_
