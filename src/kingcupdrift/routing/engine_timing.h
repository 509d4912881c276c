#ifndef KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_
#define KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Time model of a model engine, from figures that its operators configure.
/// An engine works in iterations. An iteration with streams in decode has
/// `steps_per_iteration` steps, each of which gives every stream a token.
/// Prompts are prefilled inside the steps; all streams stall meanwhile.
struct EngineTiming {
  /// Limit of concurrent streams and, separately, of prompts that the engine
  /// prefills in part for other engines at the same time.
  int slots = 1;
  /// Memory for prompts and answers, in tokens.
  TokenCount memory;
  /// Steps of an iteration with streams.
  int steps_per_iteration = 1;
  /// Time of a step without streams.
  Duration base_step_time{0};
  /// Extra time of a step for each stream, microseconds.
  double step_us_per_stream = 0;
  /// Extra time of a step for each token of the streams' context,
  /// microseconds.
  double step_us_per_context_token = 0;
  /// Time to prefill one token, microseconds.
  double prefill_us_per_token = 0;
  /// Extra prefill time for each pair of a token and an earlier one,
  /// microseconds.
  double prefill_us_per_token_pair = 0;
  /// Extra time of each step of a stream whose prompt is held by several
  /// engines. `EstimateIterationTime` does not include it.
  Duration split_step_overhead{0};

  /// Returns the time to prefill a whole prompt on one idle engine.
  Duration EstimatePrefillTime(TokenCount prompt) const;
  /// Returns the time of an iteration with `streams` streams that hold
  /// `context` tokens together, without any prefill; zero without streams.
  Duration EstimateIterationTime(int streams, TokenCount context) const;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_ENGINE_TIMING_H_
