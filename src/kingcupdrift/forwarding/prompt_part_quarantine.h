#ifndef KINGCUPDRIFT_FORWARDING_PROMPT_PART_QUARANTINE_H_
#define KINGCUPDRIFT_FORWARDING_PROMPT_PART_QUARANTINE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Finds parts of prompts that crash engines, from the prompts that crashes
/// interrupted and from those that were answered. A part in quarantine is to be
/// kept from all engines.
///
/// Each crash is blamed on one part at most, so that sound parts that prompts
/// share with a crashing one stay in use. Parts that were never answered are
/// blamed first, then those in most crashes, then those later in the prompt,
/// which fewer prompts share. A part that is answered is free of all crashes
/// before.
class PromptPartQuarantine {
 public:
  explicit PromptPartQuarantine(const Clock& clock) : clock_(clock) {}

  /// Adds a crash, or further suspects to a known one. Returns the latest
  /// successes of suspects that are new here.
  std::vector<PromptPartSuccess> AddCrash(const EngineCrash& crash);
  /// The parts were in a prompt that an engine answered `age` ago. Returns
  /// those that were suspects of crashes before that.
  std::vector<PromptPartSuccess> AddSuccess(
      const std::vector<PromptPartId>& parts,
      Duration age);

  /// A record says that the part is in quarantine, as other entries (serving
  /// processes) found. Ends with an answer, `kQuarantineTime` from now, or with
  /// `RemoveRecord`.
  void AddRecord(const PromptPartId& part);
  void RemoveRecord(const PromptPartId& part) { recorded_.erase(part); }

  /// Time until none of the parts is in quarantine; zero if none is.
  Duration GetTimeLeft(const std::vector<PromptPartId>& parts) const;
  /// Parts in quarantine, with the number of crashes blamed on each; zero if
  /// only a record says so.
  std::map<PromptPartId, int> ListQuarantined() const;
  /// Crashes of at most this age that still have suspects.
  std::vector<EngineCrash> ListCrashes(Duration max_age) const;

  /// Crashes that put a part into quarantine that was never answered: two may
  /// be chance where several engines fail at once.
  static constexpr int kMinCrashes = 3;
  /// The same for a part that was answered before and not since.
  static constexpr int kMinCrashesOfAnsweredPart = 5;
  /// Such a part must not have been answered for this long, so that a part that
  /// many prompts share is not blamed when many engines fail at once.
  static constexpr Duration kAnsweredPartGrace = std::chrono::seconds(1);
  /// Time in quarantine from the last crash on. Afterwards prompts with the
  /// part are sent again, as the engines may have been mended.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 512;
  static constexpr std::size_t kMaxSuspects = 256;
  /// The parts answered last are remembered, this many.
  static constexpr std::size_t kMaxAnsweredParts = 16'384;

 private:
  using EngineProcess = std::pair<EngineId, Incarnation>;
  struct Crash {
    MonotonicTime time;
    std::map<PromptPartId, std::size_t> positions;
  };
  struct Quarantined {
    MonotonicTime until;
    int crashes = 0;
  };
  struct AnsweredPart {
    PromptPartId part;
    MonotonicTime last_answer;
  };
  /// How well a part explains crashes that no other part does.
  struct Blame {
    bool was_answered = false;
    int crashes = 0;
    std::size_t position = 0;
    MonotonicTime last_crash{};
  };

  std::optional<MonotonicTime> FindLastAnswer(const PromptPartId& part) const;
  void RememberAnswer(const PromptPartId& part, MonotonicTime time);
  void DropOldCrashes();
  void AssignBlame();
  std::map<PromptPartId, Blame> CountUnexplained() const;
  bool IsSufficient(const PromptPartId& part, const Blame& blame) const;
  static bool IsMoreLikely(const Blame& a, const Blame& b);

  const Clock& clock_;
  std::map<EngineProcess, Crash> crashes_;
  std::map<PromptPartId, Quarantined> quarantined_;
  // Ends of the quarantines that records tell of.
  std::map<PromptPartId, MonotonicTime> recorded_;
  // Most recently answered first.
  std::list<AnsweredPart> answered_;
  std::unordered_map<PromptPartId, std::list<AnsweredPart>::iterator>
      answered_index_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_PROMPT_PART_QUARANTINE_H_
