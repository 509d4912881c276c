#include "kingcupdrift/entry/internal/engine_poller.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {

EnginePoller::EnginePoller(Clock& clock,
                           Random& random,
                           EngineClient& engines,
                           Router& router,
                           std::function<void()> on_report_read)
    : clock_(clock),
      random_(random),
      engines_(engines),
      router_(router),
      on_report_read_(std::move(on_report_read)),
      is_live_(std::make_shared<bool>(true)) {}

EnginePoller::~EnginePoller() {
  *is_live_ = false;
}

void EnginePoller::SetEngines(std::vector<EngineAddress> engines) {
  std::map<EngineId, State> states;
  for (EngineAddress& it : engines) {
    const auto known = states_.find(it.id);
    State state;
    const bool is_same =
        known != states_.end() && known->second.address.endpoint == it.endpoint;
    if (is_same) {
      state = known->second;
    }
    state.address = std::move(it);
    const EngineId id = state.address.id;
    const bool is_new = known == states_.end();
    State& inserted = states.emplace(id, std::move(state)).first->second;
    if (is_new) {
      ReadReport(inserted);
    }
  }
  states_ = std::move(states);
  if (timer_ == nullptr) {
    Schedule();
  }
}

Duration EnginePoller::ComputeMeanInterval() const {
  const Duration by_rate =
      Duration(std::chrono::seconds(1)) / kMaxCallsPerSecond;
  if (states_.empty()) {
    return kMinMeanInterval;
  }
  const Duration by_engine =
      kMinMeanInterval / static_cast<Duration::rep>(states_.size());
  return std::max(by_rate, by_engine);
}

void EnginePoller::Schedule() {
  const double factor = 0.8 + 0.4 * random_.NextDouble();
  const auto delay = static_cast<Duration::rep>(
      static_cast<double>(ComputeMeanInterval().count()) * factor);
  timer_ = clock_.RunAfter(Duration(delay), [this] {
    PollNext();
    Schedule();
  });
}

void EnginePoller::PollNext() {
  if (states_.empty()) {
    return;
  }
  auto it = states_.upper_bound(last_polled_);
  if (it == states_.end()) {
    it = states_.begin();
  }
  last_polled_ = it->first;
  State& state = it->second;
  if (state.is_reading) {
    return;
  }
  ++state.poll_count;
  if (state.poll_count % kCallsPerCacheRead == 0) {
    ReadCacheEvents(state);
  } else {
    ReadReport(state);
  }
}

void EnginePoller::ReadReport(State& state) {
  state.is_reading = true;
  const EngineId id = state.address.id;
  engines_.FetchReport(state.address, [this, id, is_live = is_live_](
                                          const Result<EngineReport>& report) {
    if (!*is_live) {
      return;
    }
    const auto it = states_.find(id);
    if (it == states_.end()) {
      return;
    }
    it->second.is_reading = false;
    if (report) {
      router_.OnReport(id, *report);
    } else {
      router_.OnReportFailed(id);
    }
    on_report_read_();
  });
}

void EnginePoller::ReadCacheEvents(State& state) {
  state.is_reading = true;
  const EngineId id = state.address.id;
  engines_.FetchCacheEvents(
      state.address, state.last_cache_event,
      [this, id, is_live = is_live_](const Result<CacheEventBatch>& batch) {
        if (!*is_live) {
          return;
        }
        const auto it = states_.find(id);
        if (it == states_.end()) {
          return;
        }
        it->second.is_reading = false;
        if (batch) {
          it->second.last_cache_event = batch->last_sequence;
          router_.OnCacheEvents(id, *batch);
        }
      });
}

}  // namespace kingcupdrift
