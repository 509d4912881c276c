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

/// Fault of the network between one engine and all its clients.
struct EngineLinkFault {
  /// Connections are refused; open streams are interrupted.
  bool is_down = false;
  /// Control calls and requests to open a stream never arrive; pausing or
  /// closing an open stream still takes effect. No effect together with
  /// `affects_only_open_streams`.
  bool drops_messages_to_engine = false;
  /// Messages from the engine never arrive. A stream that lost one delivers
  /// nothing more, also after the fault is cleared.
  bool drops_messages_from_engine = false;
  /// Messages are dropped only on streams opened before the fault began.
  bool affects_only_open_streams = false;
  /// Added to the latency in each direction.
  Duration delay{0};
};

/// A connection that the fleet notifies when its link goes down.
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
  /// Number of calls of SetFault for an engine.
  std::uint64_t FaultEpoch(const EngineId& id) { return links_[id].epoch; }

  /// Drops the reply to the next control call to `id`; the call takes effect.
  void LoseNextReply(const EngineId& id) { ++links_[id].replies_to_lose; }
  /// Returns true, once for each LoseNextReply, if a reply is to be dropped.
  bool ConsumeLostReply(const EngineId& id);

  /// Ends the engine: it loses its work and memory and refuses connections.
  void Kill(const EngineId& id);
  /// Ends Kill or any other fault.
  void Revive(const EngineId& id) { ClearFault(id); }

  void Connect(const EngineId& id, EngineConnection& connection);
  void Disconnect(const EngineId& id, EngineConnection& connection);

  /// Number of control calls to engines that the fleet does not have.
  std::uint64_t calls_to_unknown() const { return calls_to_unknown_; }
  void CountCallToUnknown() { ++calls_to_unknown_; }

  /// Messages in flight to engines; they arrive even if the sender dies.
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
