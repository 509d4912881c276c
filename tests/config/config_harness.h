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

/// Valid documents of two sites; `priority` tells revisions of the base apart.
ConfigDocuments SmallDocuments(int priority);

/// A store, its clock and operators who submit and approve.
struct ConfigHarness {
  ConfigHarness();

  /// A client of its own, as another process has.
  std::unique_ptr<fakes::FakeStore> NewClient();

  /// Runs the clock until the call's callback came.
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
  /// Submits and approves on top of the head; the new head.
  StoredHead Publish(const ConfigDocuments& documents);

  fakes::ManualClock clock;
  fakes::StoreModel model{clock};
  SeededRandom random{7};
  std::unique_ptr<fakes::FakeStore> client;
  ConfigStore store;
};

}  // namespace kingcupdrift

#endif  // TESTS_CONFIG_CONFIG_HARNESS_H_
