#ifndef TESTS_FAKES_ENGINE_FLEET_H_
#define TESTS_FAKES_ENGINE_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "kingcupdrift/base/base.h"
#include "tests/fakes/delayed_task_runner.h"
#include "tests/fakes/engine_model.h"

namespace kingcupdrift::fakes {

/// State of the network between every client and one engine.
struct EngineLinkFault {
  /// Connections are refused; open streams break.
  bool is_down = false;
  /// What clients send never arrives.
  bool drops_messages_to_engine = false;
  /// What the engine sends never arrives.
  bool drops_messages_from_engine = false;
  /// Silence strikes only the streams open when the fault began.
  bool affects_only_open_streams = false;
  /// Added to the latency each way.
  Duration delay{0};
};

/// A connection that the fleet tells of a broken link.
class EngineConnection {
 public:
  virtual ~EngineConnection() = default;
  virtual void OnLinkDown() = 0;
};

/// The engines of a test, by identifier, and the faults of their links.
class EngineFleet {
 public:
  explicit EngineFleet(Clock& clock) : clock_(clock), in_flight_(clock) {}

  EngineModel& Add(EngineModelOptions options);
  /// Null for an unknown engine.
  EngineModel* Find(const EngineId& id);
  const std::map<EngineId, std::unique_ptr<EngineModel>>& engines() const {
    return engines_;
  }

  void SetFault(const EngineId& id, EngineLinkFault fault);
  void ClearFault(const EngineId& id) { SetFault(id, {}); }
  const EngineLinkFault& fault(const EngineId& id) { return links_[id].fault; }
  /// Counts the calls of SetFault for an engine.
  std::uint64_t FaultEpoch(const EngineId& id) { return links_[id].epoch; }

  /// Loses the reply to the next control call to `id`, after its effect.
  void LoseNextReply(const EngineId& id) { ++links_[id].replies_to_lose; }
  bool ConsumeLostReply(const EngineId& id);

  /// Drops the engine's work and memory and refuses connections.
  void Kill(const EngineId& id);
  /// Ends Kill or any other fault.
  void Revive(const EngineId& id) { ClearFault(id); }

  void Connect(const EngineId& id, EngineConnection& connection);
  void Disconnect(const EngineId& id, EngineConnection& connection);

  /// Control calls to targets that are no engine of the fleet.
  std::uint64_t calls_to_unknown() const { return calls_to_unknown_; }
  void CountCallToUnknown() { ++calls_to_unknown_; }

  /// Messages on their way to engines; they arrive even if the sender dies.
  DelayedTaskRunner& in_flight() { return in_flight_; }

 private:
  struct Link {
    EngineLinkFault fault;
    std::uint64_t epoch = 0;
    int replies_to_lose = 0;
    std::set<EngineConnection*> connections;
  };

  Clock& clock_;
  std::map<EngineId, std::unique_ptr<EngineModel>> engines_;
  std::map<EngineId, Link> links_;
  std::uint64_t calls_to_unknown_ = 0;
  DelayedTaskRunner in_flight_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ENGINE_FLEET_H_
