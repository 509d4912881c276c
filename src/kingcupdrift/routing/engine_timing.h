#ifndef KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_
#define KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// How long a model engine takes, from the figures that its operators state.
/// An engine works in passes. A pass with streams that write has
/// `steps_per_iteration` steps, each of which gives every stream a token;
/// prompts are read inside the steps, and all streams stand still meanwhile.
struct EngineTiming {
  /// Streams that run at the same time.
  int slots = 1;
  /// Tokens of prompts and answers that fit into the engine's memory.
  TokenCount memory;
  /// Steps of a pass with streams.
  int steps_per_iteration = 1;
  /// A step's time, without streams.
  Duration base_step_time{0};
  /// A step's time for each stream, microseconds.
  double step_us_per_stream = 0;
  /// A step's time for each token of the streams' context, microseconds.
  double step_us_per_context_token = 0;
  /// Time to read one token, microseconds.
  double prefill_us_per_token = 0;
  /// Time for each pair of a token and an earlier one, microseconds.
  double prefill_us_per_token_pair = 0;
  /// A stream whose prompt is spread over engines takes this much more a step.
  Duration split_step_overhead{0};

  /// Reading time of a whole prompt on one engine with nothing else to do.
  Duration EstimatePrefillTime(TokenCount prompt) const;
  /// Time of a pass with `streams` streams that hold `context` tokens in all,
  /// without any reading; zero without streams.
  Duration EstimateIterationTime(int streams, TokenCount context) const;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_
