#ifndef KINGCUPDRIFT_ENTRY_INTERNAL_METERED_STORE_H_
#define KINGCUPDRIFT_ENTRY_INTERNAL_METERED_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kingcupdrift/interfaces/interfaces.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Forwards calls to a store and counts them by operation and result.
class MeteredStore : public PlatformStore {
 public:
  /// Both must outlive the object and its calls.
  MeteredStore(PlatformStore& store, Metrics& metrics);

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
  std::unique_ptr<StoreWatch> Watch(const std::string& prefix,
                                    StoreVersion after,
                                    WatchCallback callback) override;

 private:
  /// Wraps `callback`: counts the result, then calls it.
  template <typename T>
  std::function<void(Result<T>)> CountResult(
      std::string_view operation,
      std::function<void(Result<T>)> callback);

  PlatformStore& store_;
  Metrics& metrics_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENTRY_INTERNAL_METERED_STORE_H_
