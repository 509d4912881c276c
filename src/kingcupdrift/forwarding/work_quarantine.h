#ifndef KINGCUPDRIFT_FORWARDING_WORK_QUARANTINE_H_
#define KINGCUPDRIFT_FORWARDING_WORK_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/answered_work.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Finds work that crashes engines, from what crashes interrupted and from what
/// was answered. Work in quarantine is to be kept from all engines. Keys are
/// those of shared parts of prompts and of whole requests.
///
/// Each crash is blamed on one key at most, so that sound work that shares a
/// key with the crashing one stays in use. Keys that were never answered are
/// blamed first, then those in most crashes, then those later in the prompt,
/// which fewer requests share. The key of a request comes last in its prompt
/// and counts `kRequestLead` crashes more, so that a part is blamed only if
/// other requests with it crash engines too. An answered key is free of all
/// crashes before.
class WorkQuarantine {
 public:
  explicit WorkQuarantine(const Clock& clock) : clock_(clock) {}

  /// Adds a crash, or further suspects to a known one. Returns the latest
  /// successes of suspects that are new here.
  std::vector<WorkSuccess> AddCrash(const EngineCrash& crash);
  /// An engine answered work with these keys `age` ago. Returns those that were
  /// suspects of crashes before that.
  std::vector<WorkSuccess> AddSuccess(const std::vector<WorkKey>& keys,
                                      Duration age);

  /// The engine's process answered on a connection that was opened `age` ago:
  /// it had not ended before, and earlier reports of its end are dropped, also
  /// those that come later. True if there were any.
  bool AddSurvival(const EngineId& engine,
                   Incarnation incarnation,
                   Duration age);
  /// The survival that refutes this crash, if one is known.
  std::optional<EngineSurvival> FindSurvival(const EngineCrash& crash) const;
  /// The crash is known here and not refuted.
  bool HasCrash(const EngineId& engine, Incarnation incarnation) const {
    return crashes_.contains({engine, incarnation});
  }

  /// A record says that the key is in quarantine, as other entries (serving
  /// processes) found. Ends with an answer, `kQuarantineTime` from now, or with
  /// `RemoveRecord`.
  void AddRecord(const WorkKey& key);
  void RemoveRecord(const WorkKey& key) { recorded_.erase(key); }

  /// Time until none of the keys is in quarantine; zero if none is.
  Duration GetTimeLeft(const std::vector<WorkKey>& keys) const;
  /// Keys in quarantine, with the number of crashes blamed on each; zero if
  /// only a record says so.
  std::map<WorkKey, int> ListQuarantined() const;
  /// Crashes of at most this age that still have suspects.
  std::vector<EngineCrash> ListCrashes(Duration max_age) const;

  /// Crashes that put a key into quarantine that was never answered: two may be
  /// chance where several engines fail at once.
  static constexpr int kMinCrashes = 3;
  /// The same for a key that was answered before and not since, and for
  /// requests that all of the crashes interrupted together, as when both are
  /// sent again at the same time.
  static constexpr int kMinCrashesInDoubt = 5;
  /// A key that was answered before must have crashed an engine this long after
  /// its last answer, so that work that many engines have is not blamed when
  /// they all fail at once and can't answer for a while.
  static constexpr Duration kAnsweredGrace = std::chrono::seconds(1);
  /// Crashes by which a part must exceed a request that has it, to be blamed in
  /// its place: one may be chance.
  static constexpr int kRequestLead = 1;
  /// Time in quarantine from the last crash on. Afterwards the work is sent
  /// again, as the engines may have been mended.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 512;
  /// Reports of a crash arrive no later than this after it.
  static constexpr Duration kSurvivalMemory = std::chrono::minutes(1);
  static constexpr std::size_t kMaxSuspects = 256;
  /// The keys answered last are remembered, this many.
  static constexpr std::size_t kMaxAnsweredParts = 16'384;
  static constexpr std::size_t kMaxAnsweredRequests = 4096;

 private:
  using EngineProcess = std::pair<EngineId, Incarnation>;
  struct Crash {
    MonotonicTime time;
    std::map<WorkKey, std::size_t> positions;
  };
  struct Quarantined {
    MonotonicTime until;
    int crashes = 0;
  };
  /// How well a key explains crashes that no other key does.
  struct Blame {
    bool is_request = false;
    bool was_answered = false;
    int crashes = 0;
    std::size_t position = 0;
    MonotonicTime last_crash{};
  };
  using Blames = std::map<WorkKey, Blame>;

  AnsweredWork& AnsweredOfKind(const WorkKey& key);
  std::optional<MonotonicTime> FindLastAnswer(const WorkKey& key) const;
  void DropOldCrashes();
  void AssignBlame();
  /// Blames for the crashes that neither a key in quarantine nor one of
  /// `undecided` explains.
  Blames CountUnexplained(const std::set<WorkKey>& undecided) const;
  bool IsSufficient(const WorkKey& key, const Blame& blame) const;
  static bool IsMoreLikely(const Blame& a, const Blame& b);
  /// The keys of the most likely cause that is sufficient: one, or requests
  /// that are equally likely. Empty if there is none.
  std::vector<WorkKey> FindMostLikely(const Blames& blames) const;

  const Clock& clock_;
  std::map<EngineProcess, Crash> crashes_;
  // Times of the connections on which engines answered that were reported as
  // ended.
  std::map<EngineProcess, MonotonicTime> survivals_;
  std::map<WorkKey, Quarantined> quarantined_;
  // Ends of the quarantines that records tell of.
  std::map<WorkKey, MonotonicTime> recorded_;
  AnsweredWork answered_parts_{kMaxAnsweredParts};
  AnsweredWork answered_requests_{kMaxAnsweredRequests};
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_WORK_QUARANTINE_H_
