#include "tests/engines/engines_harness.h"

namespace kingcupdrift {

EnginesHarness::EnginesHarness(int engines, bool is_fencing_enforced)
    : random(1), fleet(clock), engines_(engines) {
  for (int n = 0; n < engines; ++n) {
    fakes::EngineModelOptions options;
    options.id = Id(n);
    options.memory = TokenCount(kEngineMemory);
    options.is_fencing_enforced = is_fencing_enforced;
    fleet.Add(options);
  }
}

EngineId EnginesHarness::Id(int engine) const {
  return EngineId(fmt::format("e{}", engine));
}

std::vector<EngineAddress> EnginesHarness::Addresses() const {
  std::vector<EngineAddress> addresses;
  addresses.reserve(engines_);
  for (int n = 0; n < engines_; ++n) {
    addresses.push_back(EngineAddress{Id(n), Endpoint()});
  }
  return addresses;
}

std::vector<GroupMember> EnginesHarness::Members(
    const std::vector<int>& engines,
    std::int64_t tokens) const {
  std::vector<GroupMember> members;
  members.reserve(engines.size());
  for (const int n : engines) {
    members.push_back(
        GroupMember{EngineAddress{Id(n), Endpoint()}, TokenCount(tokens)});
  }
  return members;
}

fakes::EngineModel& EnginesHarness::model(int engine) {
  return *fleet.Find(Id(engine));
}

std::int64_t EnginesHarness::Held() {
  std::int64_t held = 0;
  for (int n = 0; n < engines_; ++n) {
    held += model(n).GetHeldMemory().value();
  }
  return held;
}

fakes::FakeEngineClientOptions OwnedBy(const std::string& instance) {
  fakes::FakeEngineClientOptions options;
  options.owner = InstanceId(instance);
  return options;
}

}  // namespace kingcupdrift
