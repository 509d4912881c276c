#ifndef KINGCUPDRIFT_STORE_BUDGETED_STORE_H_
#define KINGCUPDRIFT_STORE_BUDGETED_STORE_H_

#include <functional>
#include <memory>
#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/store/store_budget.h"

namespace kingcupdrift {

/// The platform's store behind a `StoreBudget`, which limits the rate of calls
/// and backs off while the store is down. Create one object for each priority;
/// all of them share one budget. A call that the budget refuses ends with
/// kUnavailable: nothing was sent. Callbacks do not run after destruction,
/// except those of an admitted watch, which end with its `StoreWatch`. Calls
/// without a reply at destruction are never reported to the budget; if one of
/// them was its probe, the budget refuses all calls until the report of another
/// admitted call.
class BudgetedStore : public PlatformStore {
 public:
  /// The caller keeps all arguments alive longer than this object.
  BudgetedStore(Clock& clock,
                PlatformStore& store,
                StoreBudget& budget,
                StorePriority priority);
  ~BudgetedStore() override;
  BudgetedStore(const BudgetedStore&) = delete;
  BudgetedStore& operator=(const BudgetedStore&) = delete;

  void Get(const std::string& key, GetCallback callback) override;
  void List(const std::string& prefix, ListCallback callback) override;
  void CompareAndSwap(const std::string& key,
                      StoreVersion expected,
                      std::string value,
                      LeaseId lease,
                      WriteCallback callback) override;
  void CompareAndDelete(const std::string& key,
                        StoreVersion expected,
                        WriteCallback callback) override;
  void GrantLease(Duration time_to_live, LeaseCallback callback) override;
  void KeepAlive(LeaseId lease, DoneCallback callback) override;
  void Revoke(LeaseId lease, DoneCallback callback) override;
  /// Beyond `StoreBudgetOptions::max_watches`, or while the store counts as
  /// down, the callback gets kOverloaded. The rate does not limit watches, and
  /// their results are not reported to the budget.
  std::unique_ptr<StoreWatch> Watch(const std::string& prefix,
                                    StoreVersion after,
                                    WatchCallback callback) override;

 private:
  class CountedWatch;

  /// Asks the budget to admit a call, runs it then, and reports to the budget
  /// whether the store replied. `call` gets the callback to pass to the store.
  template <typename T>
  void Run(StoreCallKind kind,
           std::function<void(Result<T>)> callback,
           std::function<void(std::function<void(Result<T>)>)> call);

  PlatformStore& store_;
  StoreBudget& budget_;
  StorePriority priority_;
  DeferredTaskRunner refusals_;
  // Checked by callbacks of the store, which may run after destruction.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_STORE_BUDGETED_STORE_H_
