#include "kingcupdrift/config/internal/head_watcher.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::internal {

HeadWatcher::HeadWatcher(PlatformStore& store,
                         Clock& clock,
                         Random& random,
                         const ConfigFollowerOptions& options,
                         ConfigFollowerCounts& counts,
                         Callback on_head)
    : store_(store),
      clock_(clock),
      random_(random),
      options_(options),
      counts_(counts),
      on_head_(std::move(on_head)),
      backoff_(options.min_backoff) {}

void HeadWatcher::ReadHead() {
  if (is_watch_interrupted_) {
    watch_.reset();
    is_watch_interrupted_ = false;
  }
  reading_ = std::make_unique<Reading>(store_, clock_, random_);
  reading_->reader.LoadHead(
      [this](const Result<std::optional<StoredHead>>& head) { OnRead(head); });
}

void HeadWatcher::OnRead(const Result<std::optional<StoredHead>>& head) {
  if (!head) {
    OnFault();
    return;
  }
  backoff_ = options_.min_backoff;
  if (!watch_) {
    StartWatch(*head ? (*head)->version : StoreVersion(0));
  }
  ScheduleRead(options_.read_interval);
  if (*head) {
    on_head_(**head);
  }
}

void HeadWatcher::StartWatch(StoreVersion after) {
  watch_ =
      store_.Watch(kConfigHeadKey, after,
                   [this](const Result<StoreEvent>& event) { OnEvent(event); });
}

void HeadWatcher::OnEvent(const Result<StoreEvent>& event) {
  if (!event) {
    is_watch_interrupted_ = true;
    OnFault();
    return;
  }
  if (event->key != kConfigHeadKey || !event->value) {
    return;
  }
  const Result<StoredHead> head = ParseStoredHead(*event->value);
  if (head) {
    on_head_(*head);
  }
}

void HeadWatcher::OnFault() {
  ++counts_.store_faults;
  ScheduleRead(backoff_);
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

void HeadWatcher::ScheduleRead(Duration longest) {
  const auto jitter = static_cast<Duration::rep>(
      random_.NextBelow(static_cast<std::uint64_t>(longest.count() / 2) + 1));
  timer_ = clock_.RunAfter(longest - Duration(jitter), [this] { ReadHead(); });
}

}  // namespace kingcupdrift::internal
