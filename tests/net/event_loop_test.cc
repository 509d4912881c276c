#include "kingcupdrift/net/event_loop.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/net/net_fixture.h"

namespace kingcupdrift {
namespace {

TEST_CASE("A posted task runs after the timers that are already due [loop]") {
  NetFixture net;
  std::string order;
  std::unique_ptr<Timer> timer;
  net.loop.Post([&] {
    order += "a";
    timer = net.clock.RunAfter(Duration::zero(), [&] { order += "t"; });
    net.loop.Post([&] { order += "b"; });
  });
  net.Await([&] { return order.size() == 3; });
  CHECK(order == "atb");
}

}  // namespace
}  // namespace kingcupdrift
