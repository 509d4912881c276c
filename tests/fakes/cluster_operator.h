#ifndef TESTS_FAKES_CLUSTER_OPERATOR_H_
#define TESTS_FAKES_CLUSTER_OPERATOR_H_

#include <chrono>
#include <cstdint>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "tests/fakes/fake_store.h"

namespace kingcupdrift::fakes {

/// An operator at the command line, with a store client of its own. The time
/// limit of each operation of `config` is 30 s.
struct ClusterOperator {
  ClusterOperator(StoreModel& model, Clock& clock, std::uint64_t seed)
      : random(seed),
        store({}, model, clock),
        config(store, clock, random, std::chrono::seconds(30)) {}

  SeededRandom random;
  FakeStore store;
  ConfigStore config;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_CLUSTER_OPERATOR_H_
