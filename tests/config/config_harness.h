#ifndef TESTS_CONFIG_CONFIG_HARNESS_H_
#define TESTS_CONFIG_CONFIG_HARNESS_H_

#include <memory>
#include <optional>
#include <string>

#include "kingcupdrift/config/config.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {

inline const SiteId kAndina("andina");
inline const SiteId kGreatLakes("great-lakes");

/// Valid documents of two sites; bases with another `priority` have another
/// digest.
ConfigDocuments SmallDocuments(int priority);

/// A store with a manual clock, and the calls of operators who submit and
/// approve.
struct ConfigHarness {
  ConfigHarness();

  /// Returns another client of the same store, as another process would use.
  std::unique_ptr<fakes::FakeStore> NewClient();

  /// Starts a call and advances the clock until its callback; kInternal if
  /// there is none within five minutes.
  template <typename T, typename Start>
  Result<T> Await(Start start) {
    std::optional<Result<T>> result;
    start([&result](Result<T> it) { result.emplace(std::move(it)); });
    clock.AdvanceUntil([&result] { return result.has_value(); },
                       std::chrono::minutes(5));
    if (!result) {
      return MakeError(ErrorCode::kInternal, "no callback");
    }
    return std::move(*result);
  }

  Result<std::optional<StoredHead>> Head();
  Result<std::string> Submit(const ConfigDocuments& documents,
                             const std::optional<StoredHead>& based_on);
  Result<Approval> Approve(const std::string& proposal,
                           const std::string& approver = "ana");
  /// Submits documents based on the current head, approves them and returns the
  /// new head.
  StoredHead Publish(const ConfigDocuments& documents);

  fakes::ManualClock clock;
  fakes::StoreModel model{clock};
  SeededRandom random{7};
  std::unique_ptr<fakes::FakeStore> client;
  ConfigStore store;
};

}  // namespace kingcupdrift

#endif  // TESTS_CONFIG_CONFIG_HARNESS_H_
