#include "kingcupdrift/store/budgeted_store.h"

#include <utility>

namespace kingcupdrift {
namespace {

// An error reply, such as a version conflict, shows that the store is up. The
// codes listed here mean that no reply came.
bool IsServerReply(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kUnknownEffect:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kConnectionLost:
      return false;
    default:
      return true;
  }
}

}  // namespace

/// A watch that counts against `StoreBudgetOptions::max_watches` while it is
/// open.
class BudgetedStore::CountedWatch : public StoreWatch {
 public:
  explicit CountedWatch(StoreBudget& budget) : budget_(budget) {}
  ~CountedWatch() override {
    watch_.reset();
    budget_.CloseWatch();
  }
  void Hold(std::unique_ptr<StoreWatch> watch) { watch_ = std::move(watch); }

 private:
  StoreBudget& budget_;
  std::unique_ptr<StoreWatch> watch_;
};

BudgetedStore::BudgetedStore(Clock& clock,
                             PlatformStore& store,
                             StoreBudget& budget,
                             StorePriority priority)
    : store_(store),
      budget_(budget),
      priority_(priority),
      refusals_(clock),
      lifetime_token_(std::make_shared<bool>(true)) {}

BudgetedStore::~BudgetedStore() = default;

template <typename T>
void BudgetedStore::Run(
    StoreCallKind kind,
    std::function<void(Result<T>)> callback,
    std::function<void(std::function<void(Result<T>)>)> call) {
  const std::weak_ptr<bool> guard = lifetime_token_;
  budget_.Admit(
      priority_, kind,
      [this, guard, callback = std::move(callback),
       call = std::move(call)](bool is_admitted) {
        if (guard.expired()) {
          return;
        }
        if (!is_admitted) {
          refusals_.Run([callback] {
            callback(MakeError(
                ErrorCode::kUnavailable,
                "the call was not sent: the store counts as down, or calls "
                "wait too long for the budget or are too many"));
          });
          return;
        }
        call([this, guard, callback](Result<T> answer) {
          if (guard.expired()) {
            return;
          }
          budget_.Report(answer.has_value() ||
                         IsServerReply(answer.error().code));
          callback(std::move(answer));
        });
      });
}

void BudgetedStore::Get(const std::string& key, GetCallback callback) {
  Run<std::optional<StoreValue>>(StoreCallKind::kRead, std::move(callback),
                                 [this, key](GetCallback counted) {
                                   store_.Get(key, std::move(counted));
                                 });
}

void BudgetedStore::List(const std::string& prefix, ListCallback callback) {
  Run<StoreListing>(StoreCallKind::kRead, std::move(callback),
                    [this, prefix](ListCallback counted) {
                      store_.List(prefix, std::move(counted));
                    });
}

void BudgetedStore::CompareAndSwap(const std::string& key,
                                   StoreVersion expected,
                                   std::string value,
                                   LeaseId lease,
                                   WriteCallback callback) {
  Run<StoreVersion>(StoreCallKind::kWrite, std::move(callback),
                    [this, key, expected, value = std::move(value),
                     lease](WriteCallback counted) {
                      store_.CompareAndSwap(key, expected, value, lease,
                                            std::move(counted));
                    });
}

void BudgetedStore::CompareAndDelete(const std::string& key,
                                     StoreVersion expected,
                                     WriteCallback callback) {
  Run<StoreVersion>(StoreCallKind::kWrite, std::move(callback),
                    [this, key, expected](WriteCallback counted) {
                      store_.CompareAndDelete(key, expected,
                                              std::move(counted));
                    });
}

void BudgetedStore::GrantLease(Duration time_to_live, LeaseCallback callback) {
  Run<LeaseId>(StoreCallKind::kWrite, std::move(callback),
               [this, time_to_live](LeaseCallback counted) {
                 store_.GrantLease(time_to_live, std::move(counted));
               });
}

void BudgetedStore::KeepAlive(LeaseId lease, DoneCallback callback) {
  Run<void>(StoreCallKind::kWrite, std::move(callback),
            [this, lease](DoneCallback counted) {
              store_.KeepAlive(lease, std::move(counted));
            });
}

void BudgetedStore::Revoke(LeaseId lease, DoneCallback callback) {
  Run<void>(StoreCallKind::kWrite, std::move(callback),
            [this, lease](DoneCallback counted) {
              store_.Revoke(lease, std::move(counted));
            });
}

std::unique_ptr<StoreWatch> BudgetedStore::Watch(const std::string& prefix,
                                                 StoreVersion after,
                                                 WatchCallback callback) {
  if (budget_.is_down() || !budget_.TryOpenWatch()) {
    refusals_.Run([callback = std::move(callback)] {
      callback(
          MakeError(ErrorCode::kOverloaded,
                    "the watch was not opened: the store counts as down, or "
                    "max_watches are open"));
    });
    return std::make_unique<StoreWatch>();
  }
  auto watch = std::make_unique<CountedWatch>(budget_);
  watch->Hold(store_.Watch(prefix, after, std::move(callback)));
  return watch;
}

}  // namespace kingcupdrift
