#include "tests/fakes/engine_fleet.h"

#include <utility>

namespace kingcupdrift::fakes {

EngineModel& EngineFleet::Add(EngineModelOptions options) {
  const EngineId id = options.id;
  auto& engine = engines_[id];
  engine = std::make_unique<EngineModel>(std::move(options), clock_);
  return *engine;
}

EngineModel* EngineFleet::Find(const EngineId& id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : it->second.get();
}

void EngineFleet::SetFault(const EngineId& id, EngineLinkFault fault) {
  Link& link = links_[id];
  link.fault = fault;
  ++link.epoch;
  if (!fault.is_down) {
    return;
  }
  const std::set<EngineConnection*> interrupted = std::move(link.connections);
  link.connections.clear();
  for (EngineConnection* connection : interrupted) {
    connection->OnLinkDown();
  }
}

bool EngineFleet::ConsumeLostReply(const EngineId& id) {
  int& n = links_[id].replies_to_lose;
  if (n == 0) {
    return false;
  }
  --n;
  return true;
}

void EngineFleet::Kill(const EngineId& id) {
  SetFault(id, {.is_down = true});
  if (EngineModel* engine = Find(id)) {
    engine->Restart();
  }
}

void EngineFleet::Connect(const EngineId& id, EngineConnection& connection) {
  links_[id].connections.insert(&connection);
}

void EngineFleet::Disconnect(const EngineId& id, EngineConnection& connection) {
  links_[id].connections.erase(&connection);
}

}  // namespace kingcupdrift::fakes
