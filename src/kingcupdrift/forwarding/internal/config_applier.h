#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_CONFIG_APPLIER_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_CONFIG_APPLIER_H_

#include <functional>
#include <memory>
#include <optional>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/serving_config.h"
#include "kingcupdrift/forwarding/state_decoder.h"
#include "kingcupdrift/store/store.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

/// Decodes the operators' configuration. Of versions that arrive together, or
/// while it pauses, only the last is decoded. Each decoding is followed by a
/// pause of `kPauseFactor` times its duration, at most `kMaxPause`, so that a
/// quick series of large versions leaves most of the processor to other work.
class ConfigApplier {
 public:
  using Listener = std::function<void(ServingConfig)>;

  /// All arguments outlive this object. `listener` gets each valid version that
  /// is decoded; invalid ones are logged.
  ConfigApplier(Clock& clock,
                const StateDecoder& decoder,
                DecisionLog& log,
                Listener listener);

  /// The event has a value. The first one is decoded at once, later ones from a
  /// timer.
  void Update(const MirrorEvent& event);

  static constexpr int kPauseFactor = 3;
  static constexpr Duration kMaxPause = std::chrono::milliseconds(500);

 private:
  void Decode(const MirrorEvent& event);

  Clock& clock_;
  const StateDecoder& decoder_;
  DecisionLog& log_;
  Listener listener_;
  std::optional<MirrorEvent> pending_;
  std::optional<MonotonicTime> next_decoding_at_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_CONFIG_APPLIER_H_
