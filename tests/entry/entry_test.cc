#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/fakes/cluster.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::seconds;

void RefuseAllConnections(Cluster& cluster) {
  for (const auto& [id, engine] : cluster.engines().engines()) {
    EngineLinkFault fault;
    fault.is_down = true;
    cluster.engines().SetFault(id, fault);
  }
}

TEST_CASE("A completion that no engine accepts ends as not_run [entry]") {
  Cluster cluster({.entries = 1, .engines = 2});
  REQUIRE(cluster.Start());
  cluster.Advance(seconds(5));
  RefuseAllConnections(cluster);
  ClusterCall& call = cluster.Submit("a", "q", {});
  REQUIRE(cluster.AdvanceUntil([&] { return call.is_over(); }, seconds(60)));
  CHECK(call.outcome() == "not_run");
}

TEST_CASE(
    "A completion ends before its deadline if all engines refuse "
    "connections [entry]") {
  Cluster cluster({.entries = 1, .engines = 2});
  REQUIRE(cluster.Start());
  cluster.Advance(seconds(5));
  RefuseAllConnections(cluster);
  cluster.Advance(seconds(30));
  ClusterCall& call = cluster.Submit("a", "q", {.time_limit = seconds(60)});
  CHECK(cluster.AdvanceUntil([&] { return call.is_over(); }, seconds(5)));
  CHECK(call.outcome() == "not_run");
}

TEST_CASE("The time line records an outage of the store and its end [entry]") {
  Cluster cluster({.entries = 1, .engines = 1});
  REQUIRE(cluster.Start());
  StoreFault fault;
  fault.is_down = true;
  cluster.store().SetFault(fault);
  cluster.SubmitOrder("a", "o", "key", seconds(10));
  cluster.Advance(seconds(60));
  cluster.store().SetFault({});
  cluster.Advance(seconds(60));
  const std::string events =
      cluster.FindNode("a")->entry().GetTimelineJson("", "");
  CHECK(events.find("store_unavailable") != std::string::npos);
  CHECK(events.find("store_recovered") != std::string::npos);
}

TEST_CASE("A drain ends although the store is down [entry]") {
  Cluster cluster({.entries = 1, .engines = 1});
  REQUIRE(cluster.Start());
  ClusterCall& order = cluster.SubmitOrder("a", "o", "key", seconds(20));
  REQUIRE(cluster.AdvanceUntil([&] { return order.is_over(); }, seconds(20)));
  StoreFault fault;
  fault.is_down = true;
  cluster.store().SetFault(fault);
  cluster.Drain("a");
  CHECK(cluster.AdvanceUntil([&] { return cluster.FindNode("a") == nullptr; },
                             seconds(60)));
}

}  // namespace
}  // namespace kingcupdrift::fakes
