#ifndef KINGCUPDRIFT_ROUTING_PROMPT_PLACER_H_
#define KINGCUPDRIFT_ROUTING_PROMPT_PLACER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/routing/engine_timing.h"
#include "kingcupdrift/routing/work_tracker.h"

namespace kingcupdrift {

/// A prompt to place on engines.
struct PromptPlacementRequest {
  TokenCount prompt;
  /// Limit of the answer's tokens. Memory is planned for all of them.
  TokenCount output;
  /// Time to the first event that the caller expects.
  Duration target_latency{0};
  /// Longest event gap, the time between two events of a streamed answer, that
  /// the caller accepts.
  Duration max_event_gap{0};
  /// Time that the prompt has waited in the entry, the serving process.
  Duration queue_time{0};
  /// Seed of the random cost that separates engines of nearly equal cost.
  std::uint64_t seed = 0;
  /// Tokens that the answer is expected to have.
  TokenCount expected_output = TokenCount();
  /// Other entries place prompts on the same engines.
  bool shares_engines = false;
};

/// An engine and its load.
struct EngineView {
  EngineId id;
  EngineLoad work;
};

/// The engines chosen for a prompt, as indexes into the views given to `Place`.
struct PromptPlacement {
  /// The decode engine.
  std::size_t engine = 0;
  /// The prefill helpers: engines that prefill a part of the prompt each for
  /// the decode engine.
  std::vector<std::size_t> helpers;
  /// Tokens of memory, for prompt and answer, to reserve at each helper; empty
  /// if the decode engine has memory for all. The helper with the most free
  /// memory is filled first.
  std::vector<TokenCount> held;
  /// Prefill time at each engine that takes part.
  Duration part_prefill_time{0};
  /// Predicted time to the first event, from now. For a split prompt it also
  /// contains the start penalty of engines with stricter streams (see
  /// `EstimateStartDelay`).
  Duration time_to_first_event{0};
  /// Streams that a split prompt is expected to stall beyond the planned part
  /// of their accepted event gap; always zero for a short prompt.
  int stalled_streams = 0;
};

/// Chooses engines for prompts of very different lengths. It predicts, from the
/// engines' timing, the time to first event of this prompt and the stalls of
/// the streams that already run there.
///
/// A short prompt, with a prefill time below 3 * `kMinPartPrefillTime`, goes to
/// one engine, preferably to one that already runs streams with an accepted
/// event gap no longer than its own (taken to be those of short prompts), so
/// that other engines stay free for long prefills. A long prompt is prefilled
/// in equal parts by several engines at once.
///
/// An engine takes a prompt or a part only if that stalls no stream there
/// beyond its caller's accepted event gap, with two exceptions: a short prompt
/// that has waited for more than half of its target latency ignores the gaps,
/// and a long prompt whose queue time is between a quarter and all of its
/// target latency may stall a few streams.
class PromptPlacer {
 public:
  explicit PromptPlacer(const EngineTiming& timing) : timing_(timing) {}

  /// Returns the engines to send `request` to now. Returns nothing if no engine
  /// can take it now or, for a long prompt, if its predicted time to first
  /// event exceeds twice the ideal time plus queue time /
  /// `kQueueTimePerExtraDelay`; ask again after the engines' load has changed.
  std::optional<PromptPlacement> Place(
      const PromptPlacementRequest& request,
      const std::vector<EngineView>& engines) const;

  /// Returns a lower bound of the time to the first event: the prefill split
  /// evenly over the decode engine and `kMaxHelpers` helpers, all idle, and one
  /// iteration.
  Duration EstimateIdealTimeToFirstEvent(
      const PromptPlacementRequest& request) const;

  /// Returns whether prompt and maximum answer fit into the planned memory of
  /// `engine_count` engines, of which at most `kMaxHelpers` + 1 are used.
  bool FitsInMemory(const PromptPlacementRequest& request,
                    std::size_t engine_count) const;

  /// Most prefill helpers that engines accept for one prompt.
  static constexpr std::size_t kMaxHelpers = 16;
  /// Shortest prefill part that a helper gets. Below it, the network latency
  /// between engines exceeds the prefill time that the helper saves. Three
  /// times this divides short from long prompts; four times this is the start
  /// penalty of engines with stricter streams.
  static constexpr Duration kMinPartPrefillTime = std::chrono::milliseconds(25);
  /// Fraction of the target latency within which a shared engine is preferred
  /// for a short prompt. The rest covers the network to the caller and load
  /// that this entry has not been informed of yet.
  static constexpr double kPlannedLatencyFraction = 0.7;
  /// Fraction of the slots that short prompts fill at the engines they share,
  /// where all streams count. Such an engine has a stream with an accepted
  /// event gap no longer than the prompt's. Each further stream lengthens the
  /// iterations of all streams there.
  static constexpr double kSharedEngineFillFraction = 0.75;
  /// Upper limit of the random cost that is added to each engine for a short
  /// prompt, so that entries with the same view of the load do not all choose
  /// the same engine: about one short prompt's prefill time. An engine that
  /// short prompts do not share costs this more, or twice this if it runs no
  /// streams of short prompts.
  static constexpr Duration kMaxCostJitter = std::chrono::milliseconds(25);
  /// Divisor: a long prompt is sent now if its predicted time to first event is
  /// at most twice the ideal time plus queue time / `kQueueTimePerExtraDelay`;
  /// otherwise it waits.
  static constexpr int kQueueTimePerExtraDelay = 4;
  /// Fraction of an engine's memory that is planned for. The rest covers the
  /// waste of engines that allocate memory in blocks.
  static constexpr double kPlannedMemoryFraction = 0.98;
  /// Time that reserving memory at helpers adds to the time to the first event:
  /// a call to each of them before the prompt is sent.
  static constexpr Duration kReserveCost = std::chrono::milliseconds(40);
  /// Fraction of a stream's accepted event gap that is planned for. The rest
  /// covers work of other entries that this entry has not been informed of yet.
  static constexpr double kPlannedEventGapFraction = 0.8;
  /// Divisor: a long prompt may stall other streams once its queue time has
  /// reached target latency / `kStallEligibilityDivisor`, until it exceeds the
  /// target latency.
  static constexpr int kStallEligibilityDivisor = 4;
  /// A long prompt may stall one stream for each time that its own prefill time
  /// contains this. The value is three to four times the engine time that a
  /// short prompt costs: 0.03 s of prefill, plus its share, a sixteenth, of 33
  /// iterations of 0.07 s.
  static constexpr Duration kPrefillTimePerStalledStream =
      std::chrono::milliseconds(600);
  /// Streams are stalled only on engines that run at most this many, some of
  /// them stricter than the prompt's. By the constant above, only a prompt with
  /// at least 1.8 s of prefill may stall three, which is over half of the mean
  /// long prompt's prefill time.
  static constexpr int kMaxStalledStreamsPerEngine = 3;
  /// Limit of backlog plus prefill part at an engine whose streams are stalled.
  /// Less strict streams, of prompts of medium length, may run there too; they
  /// accept an event gap of this length.
  static constexpr Duration kMaxStallTime = std::chrono::milliseconds(600);
  /// Cost of a stalled stream, as an equivalent delay of the first event: the
  /// prefill time of one short prompt.
  static constexpr Duration kStalledStreamCost = std::chrono::milliseconds(30);
  /// Backlog that any engine of a split prompt may have, before it is scaled by
  /// prompt length and queue time. It keeps every engine busy between two
  /// dispatches, yet its queue short, so that the entries decide the order of
  /// prompts.
  static constexpr Duration kBaseBacklogLimit = std::chrono::milliseconds(400);
  /// Prompts up to this prefill time accept a backlog of `kBaseBacklogLimit`.
  /// Longer ones accept `kBaseBacklogLimit` / sqrt(prefill time /
  /// `kReferencePrefillTime`), so that shorter prompts go first.
  static constexpr Duration kReferencePrefillTime =
      std::chrono::milliseconds(500);
  /// Queue time in which the accepted backlog of a prompt doubles.
  static constexpr Duration kBacklogLimitDoublingTime = std::chrono::seconds(1);

 private:
  struct Candidate;
  /// A way to split the prefill of a prompt into equal parts.
  struct SplitPlan {
    /// Memory for prompt and answer.
    TokenCount needed_memory;
    Duration part_prefill_time{0};
    std::size_t helpers = 0;
    /// Limit of streams that the prompt may stall.
    int max_stalled_streams = 0;
  };

  std::optional<PromptPlacement> PlaceWhole(
      const PromptPlacementRequest& request,
      Duration prefill_time,
      const std::vector<Candidate>& candidates) const;
  std::vector<bool> ChooseShared(
      const PromptPlacementRequest& request,
      const std::vector<Candidate>& candidates) const;
  std::optional<PromptPlacement> PlaceSplit(
      const PromptPlacementRequest& request,
      Duration prefill_time,
      const std::vector<Candidate>& candidates) const;
  std::vector<Candidate> BuildCandidates(
      const PromptPlacementRequest& request,
      const std::vector<EngineView>& engines) const;
  static bool CanStallStreams(const Candidate& candidate,
                              Duration part_prefill_time);
  const Candidate* ChooseDecodeEngine(
      const SplitPlan& split,
      const std::vector<const Candidate*>& by_start_delay) const;
  std::vector<const Candidate*> ChooseHelpers(
      const SplitPlan& split,
      const Candidate& decode_engine,
      const std::vector<const Candidate*>& by_start_delay) const;
  std::optional<PromptPlacement> TryPlaceSplit(
      const SplitPlan& split,
      const std::vector<Candidate>& candidates,
      const std::vector<const Candidate*>& by_start_delay) const;
  /// Divides `missing` tokens among the helpers. Returns false if they do not
  /// have enough free memory.
  bool DivideMemory(TokenCount missing,
                    const std::vector<Candidate>& candidates,
                    PromptPlacement& placement) const;
  int ComputeMaxStalledStreams(const PromptPlacementRequest& request,
                               Duration prefill_time) const;
  static Duration ComputePlacementCost(const PromptPlacement& placement);
  Duration ComputeMaxTimeToFirstEvent(
      const PromptPlacementRequest& request) const;
  Duration ComputeBacklogLimit(const PromptPlacementRequest& request,
                               Duration prefill_time) const;
  /// Returns the backlog of the engine, plus a penalty if streams there accept
  /// shorter event gaps than the new one.
  static Duration EstimateStartDelay(const Candidate& candidate);

  EngineTiming timing_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_PROMPT_PLACER_H_
