#include "kingcupdrift/forwarding/internal/config_applier.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift {
namespace {

const Logger kLog("gateway");

}  // namespace

ConfigApplier::ConfigApplier(Clock& clock,
                             const StateDecoder& decoder,
                             DecisionLog& log,
                             Listener listener)
    : clock_(clock),
      decoder_(decoder),
      log_(log),
      listener_(std::move(listener)) {}

void ConfigApplier::Update(const MirrorEvent& event) {
  if (!next_decoding_at_) {
    Decode(event);
    return;
  }
  pending_ = event;
  if (!timer_) {
    const Duration pause =
        std::max(*next_decoding_at_ - clock_.Now(), Duration::zero());
    timer_ = clock_.RunAfter(pause, [this] {
      timer_.reset();
      Decode(*std::exchange(pending_, std::nullopt));
    });
  }
}

void ConfigApplier::Decode(const MirrorEvent& event) {
  const MonotonicTime began = clock_.Now();
  Result<ServingConfig> config = decoder_.DecodeConfig(event.value->value);
  const MonotonicTime ended = clock_.Now();
  next_decoding_at_ =
      ended + std::min(kPauseFactor * (ended - began), kMaxPause);
  if (!config) {
    kLog.Error("The configuration in the store is not valid: {}.",
               config.error().detail);
    return;
  }
  log_.Add("gateway", "config_received")
      .Number("version", config->version.value())
      .Number("store_version", event.position.version.value())
      .Text("source", GetSourceName(event.source))
      .Text("patched", event.patch ? "yes" : "no")
      .Number("bytes", static_cast<std::int64_t>(event.value->value.size()))
      .Milliseconds("decoding", ended - began);
  listener_(*std::move(config));
}

}  // namespace kingcupdrift
