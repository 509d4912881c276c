#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_WATCHER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_WATCHER_H_

#include <functional>
#include <memory>

#include "kingcupdrift/config/config_follower.h"
#include "kingcupdrift/config/config_store.h"
#include "kingcupdrift/config/internal/config_reader.h"
#include "kingcupdrift/config/internal/retrying_store.h"

namespace kingcupdrift::internal {

/// Reports the head in the store, by a watch and by reads at an interval, which
/// find changes for which the watch sent no event. After a store fault the next
/// read comes after a jittered backoff instead of the interval. A head that has
/// not changed is reported again. A malformed head counts as a store fault when
/// it was read, and is ignored when it came in a watch event.
class HeadWatcher {
 public:
  using Callback = std::function<void(const StoredHead& head)>;

  HeadWatcher(PlatformStore& store,
              Clock& clock,
              Random& random,
              const ConfigFollowerOptions& options,
              ConfigFollowerCounts& counts,
              Callback on_head);

  void Start() { ReadHead(); }

 private:
  struct Reading {
    Reading(PlatformStore& platform, Clock& clock, Random& random)
        : store(platform, clock, random, clock.Now()), reader(store) {}

    RetryingStore store;
    ConfigReader reader;
  };

  void ReadHead();
  void OnRead(const Result<std::optional<StoredHead>>& head);
  void StartWatch(StoreVersion after);
  void OnEvent(const Result<StoreEvent>& event);
  void OnFault();
  /// Schedules the next read after a random wait, from half of `longest` to all
  /// of it.
  void ScheduleRead(Duration longest);

  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  const ConfigFollowerOptions& options_;
  ConfigFollowerCounts& counts_;
  Callback on_head_;
  Duration backoff_;
  bool is_watch_interrupted_ = false;
  std::unique_ptr<Reading> reading_;
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_WATCHER_H_
