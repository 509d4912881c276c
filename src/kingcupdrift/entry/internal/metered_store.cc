#include "kingcupdrift/entry/internal/metered_store.h"

#include <utility>

namespace kingcupdrift {

MeteredStore::MeteredStore(PlatformStore& store, Metrics& metrics)
    : store_(store), metrics_(metrics) {}

template <typename T>
std::function<void(Result<T>)> MeteredStore::CountResult(
    std::string_view operation,
    std::function<void(Result<T>)> callback) {
  Metrics& metrics = metrics_;
  return
      [&metrics, operation, callback = std::move(callback)](Result<T> result) {
        metrics.CountStoreCall(
            operation, result ? "ok" : GetErrorCodeName(result.error().code));
        callback(std::move(result));
      };
}

void MeteredStore::Get(const std::string& key, GetCallback callback) {
  store_.Get(key, CountResult("get", std::move(callback)));
}

void MeteredStore::List(const std::string& prefix, ListCallback callback) {
  store_.List(prefix, CountResult("list", std::move(callback)));
}

void MeteredStore::CompareAndSwap(const std::string& key,
                                  StoreVersion expected,
                                  std::string value,
                                  LeaseId lease,
                                  WriteCallback callback) {
  store_.CompareAndSwap(key, expected, std::move(value), lease,
                        CountResult("compare_and_swap", std::move(callback)));
}

void MeteredStore::CompareAndDelete(const std::string& key,
                                    StoreVersion expected,
                                    WriteCallback callback) {
  store_.CompareAndDelete(
      key, expected, CountResult("compare_and_delete", std::move(callback)));
}

void MeteredStore::GrantLease(Duration time_to_live, LeaseCallback callback) {
  store_.GrantLease(time_to_live,
                    CountResult("grant_lease", std::move(callback)));
}

void MeteredStore::KeepAlive(LeaseId lease, DoneCallback callback) {
  store_.KeepAlive(lease, CountResult("keep_alive", std::move(callback)));
}

void MeteredStore::Revoke(LeaseId lease, DoneCallback callback) {
  store_.Revoke(lease, CountResult("revoke", std::move(callback)));
}

std::unique_ptr<StoreWatch> MeteredStore::Watch(const std::string& prefix,
                                                StoreVersion after,
                                                WatchCallback callback) {
  return store_.Watch(prefix, after,
                      CountResult("watch_event", std::move(callback)));
}

}  // namespace kingcupdrift
