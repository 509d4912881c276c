#include "tests/fakes/cluster.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/fakes/cluster_invariants.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::seconds;

TEST_CASE(
    "A cluster without faults serves and holds every invariant [cluster]") {
  Cluster cluster({});
  REQUIRE(cluster.Start());
  ClusterCall& question = cluster.Submit("a", "q", {});
  ClusterCall& order = cluster.SubmitOrder("b", "o", "key-1", seconds(20));
  ClusterCall& big = cluster.Submit("c", "big",
                                    {.prompt_tokens = 1'000'000,
                                     .output_tokens = 5,
                                     .time_limit = seconds(200)});
  CHECK(cluster.AdvanceUntil(
      [&] { return question.is_over() && order.is_over() && big.is_over(); },
      seconds(250)));
  CHECK(question.outcome() == "completed");
  INFO(DescribeProblem(order));
  CHECK(order.outcome() == "completed");
  CHECK(big.outcome() == "completed");
  cluster.Advance(seconds(60));
  for (const std::string& fault : CheckAll(cluster)) {
    FAIL_CHECK(fault);
  }
}

TEST_CASE("Plain services receive no engine control calls [cluster]") {
  Cluster cluster({});
  REQUIRE(cluster.Start());
  cluster.Advance(seconds(30));
  CHECK(cluster.engines().calls_to_unknown() == 0);
}

}  // namespace
}  // namespace kingcupdrift::fakes
