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

/// A model prompt that wants a place.
struct PromptPlacementRequest {
  TokenCount prompt;
  /// Most tokens that the answer may have; memory is planned for them.
  TokenCount output;
  /// Time to the first event that the caller expects.
  Duration target_latency{0};
  /// Longest pause between events that the caller accepts.
  Duration max_event_gap{0};
  /// How long the prompt has waited in the entry.
  Duration queue_time{0};
  /// Draws between engines that are nearly alike.
  std::uint64_t seed = 0;
};

/// One engine and what runs there.
struct EngineView {
  EngineId id;
  EngineLoad work;
};

/// Where a prompt goes. Positions are those of the views given.
struct PromptPlacement {
  std::size_t engine = 0;
  std::vector<std::size_t> helpers;
  /// Tokens of the prompt that each helper holds; empty if the first engine has
  /// memory for all.
  std::vector<TokenCount> held;
  /// Reading time at each engine that takes part.
  Duration part_prefill_time{0};
  /// Time to the first event.
  Duration time_to_first_event{0};
  /// Streams that will stand still for longer than their callers accept.
  int stalled_streams = 0;
};

/// Chooses engines for prompts of very unlike lengths by what the engines'
/// timing predicts for this caller and for those whose streams run there.
///
/// A short prompt goes to one engine, and rather to one that has streams of
/// short prompts already, so that other engines stay free for long reads. A
/// long prompt is read in even parts by several engines at once; an engine
/// takes part only as long as no stream there stands still longer than its
/// caller accepts.
class PromptPlacer {
 public:
  explicit PromptPlacer(const EngineTiming& timing) : timing_(timing) {}

  /// A place to send `request` to now; absent if it better waits.
  std::optional<PromptPlacement> Place(
      const PromptPlacementRequest& request,
      const std::vector<EngineView>& engines) const;

  /// Time to the first event if all engines were idle.
  Duration EstimateIdealTimeToFirstEvent(
      const PromptPlacementRequest& request) const;

  /// Whether `request` fits into the memory of the engine, or of several.
  bool FitsInMemory(const PromptPlacementRequest& request,
                    std::size_t engines) const;

  /// Engines accept at most this many helpers for one prompt.
  static constexpr std::size_t kMaxHelpers = 16;
  /// A part is worth a helper from this reading time on: below, the latency
  /// between engines outweighs what the helper saves.
  static constexpr Duration kMinPartPrefillTime = std::chrono::milliseconds(25);
  /// Part of the target latency that is good enough for a short prompt. The
  /// rest covers the way to the caller and what the entries do not know yet.
  static constexpr double kPlannedLatencyFraction = 0.7;
  /// Part of the slots that short prompts fill at the engines they share. Each
  /// further stream lengthens the passes that all others wait for.
  static constexpr double kSharedEngineFillFraction = 0.75;
  /// Random part of an engine's cost, so that entries which know the same do
  /// not all choose the same engine: about one short prompt's reading.
  static constexpr Duration kMaxCostJitter = std::chrono::milliseconds(25);
  /// Part of the time waited by which a first event may be later than twice the
  /// ideal.
  static constexpr int kQueueTimePerExtraDelay = 4;
  /// Part of an engine's memory that is planned for. The rest covers that
  /// engines hand out memory in blocks.
  static constexpr double kPlannedMemoryFraction = 0.98;
  /// What a reservation adds to the time to the first event: a call to each
  /// holder before the prompt is sent.
  static constexpr Duration kReserveCost = std::chrono::milliseconds(40);
  /// Part of a stream's pause limit that is planned for. The rest covers what
  /// the entries do not know of each other yet.
  static constexpr double kPlannedEventGapFraction = 0.8;
  /// A prompt may make other streams late from this part of its target latency
  /// on, until it is late itself.
  static constexpr int kStallEligibilityDivisor = 4;
  /// One stream may be made late for each such reading time of a prompt: some
  /// four times the engine time of a short prompt's stream, which is 0.03 s of
  /// reading and a sixteenth of 33 passes of 0.07 s.
  static constexpr Duration kPrefillTimePerStalledStream =
      std::chrono::milliseconds(600);
  /// Only engines with so few streams: three are worth 1.8 s of reading by the
  /// figure above, over half of a mean long prompt's.
  static constexpr int kMaxStalledStreamsPerEngine = 3;
  /// No stream is delayed for longer: the pause that streams of middle prompts
  /// bear, which may run there too.
  static constexpr Duration kMaxStallTime = std::chrono::milliseconds(600);
  /// A stream made late weighs as much as this later first event: the reading
  /// time of one short prompt.
  static constexpr Duration kStalledStreamCost = std::chrono::milliseconds(30);
  /// Reading time that a helper may have before it: keeps every engine busy
  /// between two dispatches and leaves the order of prompts to the entries.
  static constexpr Duration kBaseBacklogLimit = std::chrono::milliseconds(400);
  /// A prompt of this reading time may find `kBaseBacklogLimit`; longer ones
  /// less, by the square root, so that short work goes first.
  static constexpr Duration kReferencePrefillTime =
      std::chrono::milliseconds(500);
  /// The accepted backlog doubles each time a prompt has waited this long.
  static constexpr Duration kBacklogLimitDoublingTime = std::chrono::seconds(1);

 private:
  struct Candidate;
  /// One way to read a prompt in even parts.
  struct SplitPlan {
    /// Memory of prompt and answer.
    TokenCount needed;
    Duration part_prefill_time{0};
    std::size_t helpers = 0;
    /// Most streams that it may make late.
    int max_stalled_streams = 0;
  };

  std::optional<PromptPlacement> PlaceWhole(
      const PromptPlacementRequest& request,
      Duration work,
      const std::vector<Candidate>& candidates) const;
  std::vector<bool> ChooseShared(
      const PromptPlacementRequest& request,
      const std::vector<Candidate>& candidates) const;
  std::optional<PromptPlacement> PlaceSplit(
      const PromptPlacementRequest& request,
      Duration work,
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
      const Candidate& first,
      const std::vector<const Candidate*>& by_start_delay) const;
  std::optional<PromptPlacement> TryPlaceSplit(
      const SplitPlan& split,
      const std::vector<Candidate>& candidates,
      const std::vector<const Candidate*>& by_start_delay) const;
  /// Divides `missing` tokens among the helpers; false if they lack memory.
  bool DivideMemory(TokenCount missing,
                    const std::vector<Candidate>& candidates,
                    PromptPlacement& placement) const;
  int ComputeMaxStalledStreams(const PromptPlacementRequest& request,
                               Duration work) const;
  static Duration ComputePlacementCost(const PromptPlacement& placement);
  Duration ComputeMaxTimeToFirstEvent(
      const PromptPlacementRequest& request) const;
  Duration ComputeBacklogLimit(const PromptPlacementRequest& request,
                               Duration work) const;
  /// When a part could be read there, with what that costs others.
  static Duration EstimateStartDelay(const Candidate& candidate);

  EngineTiming timing_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_PROMPT_PLACER_H_
