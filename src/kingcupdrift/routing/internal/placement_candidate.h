#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_PLACEMENT_CANDIDATE_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_PLACEMENT_CANDIDATE_H_

#include "kingcupdrift/routing/prompt_placer.h"

namespace kingcupdrift {

/// Returns `time` times `factor`.
inline Duration Scale(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

/// An engine and the values that the placement of one prompt derives from it.
struct PromptPlacer::Candidate {
  std::size_t position = 0;
  EngineLoad load;
  /// Time of an iteration with the streams that run there, and with the new
  /// stream added.
  Duration iteration_time{0};
  Duration iteration_time_with_request{0};
  /// Longest prefill that keeps all streams there within the planned part of
  /// their accepted event gap; absent without streams.
  std::optional<Duration> max_prefill_time;
  /// Planned memory that is neither occupied nor reserved.
  TokenCount free_memory;
  bool has_slot = false;
  /// Some stream there accepts only a shorter event gap than the new one.
  bool has_stricter_streams = false;
  bool can_help = false;

  bool ToleratesPrefill(Duration prefill_time) const {
    return !max_prefill_time || prefill_time <= *max_prefill_time;
  }
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_PLACEMENT_CANDIDATE_H_
