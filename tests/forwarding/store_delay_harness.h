#ifndef TESTS_FORWARDING_STORE_DELAY_HARNESS_H_
#define TESTS_FORWARDING_STORE_DELAY_HARNESS_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/forwarding.h"
#include "tests/forwarding/gateway_harness.h"

namespace kingcupdrift::fakes {

/// Longest time until an approved configuration is in force and until a target
/// that leaves gets no request any more, on the operators' smallest
/// deployments, and on those of 65 entries and more.
constexpr Duration kBound = std::chrono::seconds(2);
constexpr Duration kLargeFleetBound = std::chrono::seconds(3);
constexpr Duration kStep = std::chrono::milliseconds(20);

/// Entries with a model engine "m1" and the plain targets "t1" and "t2".
struct DelayHarness : GatewayHarness {
  explicit DelayHarness(int count,
                        Duration peer_delay = std::chrono::milliseconds(5))
      : GatewayHarness(count, peer_delay) {
    Put("targets/m1", "ready 7 model");
    Put("targets/t2", "ready 8");
    clock.Advance(std::chrono::seconds(1));
  }

  /// Entries that read the store, the one that passes changes on first.
  std::vector<GatewayNode*> Readers() {
    std::vector<GatewayNode*> readers;
    for (const auto& it : nodes) {
      if (it->Metric("kingcupdrift_store_reader") == "1") {
        readers.push_back(it.get());
      }
    }
    std::stable_sort(readers.begin(), readers.end(),
                     [](const GatewayNode* a, const GatewayNode* b) {
                       return a->IsFirstReader() && !b->IsFirstReader();
                     });
    return readers;
  }

  /// Time until `is_done`, at most `limit`, while all entries place prompts and
  /// so send each other many messages.
  Duration MeasureBusy(const std::function<bool()>& is_done, Duration limit) {
    const MonotonicTime start = clock.Now();
    while (!is_done() && clock.Now() - start < limit) {
      for (const auto& it : nodes) {
        ForwardCall call = ForwardingHarness::Prompt(1000);
        call.key = "kept";
        const auto record = std::make_shared<CallerRecord>();
        it->gateway->Handle(std::move(call), MakeRecordingSink(record));
      }
      clock.Advance(kStep);
    }
    return clock.Now() - start;
  }

  Duration Measure(const std::function<bool()>& is_done, Duration limit) {
    const MonotonicTime start = clock.Now();
    while (!is_done() && clock.Now() - start < limit) {
      clock.Advance(kStep);
    }
    return clock.Now() - start;
  }

  bool IsKeyKnownEverywhere(const std::string& key) {
    return std::all_of(nodes.begin(), nodes.end(), [&key](const auto& it) {
      return it->Ask(key) != "unknown_key";
    });
  }

  /// Sends and answers one request at each entry; whether one went to `id`.
  bool IsUsedAnywhere(const std::string& id) {
    return std::any_of(nodes.begin(), nodes.end(),
                       [&id](const auto& it) { return it->IsUsed(id); });
  }
};

/// A configuration as large as one with 1,400 routes.
inline std::string MakeLargeConfig(int version, const std::string& keys) {
  return std::to_string(version) + " " + keys + " " + std::string(500'000, 'x');
}

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FORWARDING_STORE_DELAY_HARNESS_H_
