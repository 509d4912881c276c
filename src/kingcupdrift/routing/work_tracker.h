#ifndef KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_
#define KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Load of one engine, from the work notes of all entries (serving processes).
struct EngineLoad {
  /// Time until all prefills there are done.
  Duration backlog{0};
  /// Prefills that started at most one `max_event_gap` ago and may not have
  /// begun: the engine takes them up together in its next iteration, which
  /// stalls its streams for the sum. Zero without streams.
  Duration pending_prefill{0};
  /// Streams in decode, or that will decode there after their prefill.
  int streams = 0;
  /// Prompts that the engine prefills in part, as a prefill helper, for other
  /// decode engines.
  int partial_prefills = 0;
  /// Memory that prompts and maximum answers occupy or will occupy, in tokens.
  TokenCount context;
  /// The longest event gap (time between two events of a streamed answer) that
  /// each caller accepts: minimum over the streams; zero without streams.
  Duration max_event_gap{0};
};

/// Tracks the work of all entries at all engines. Entries exchange work notes
/// since the engines' own reports lag behind.
class WorkTracker {
 public:
  explicit WorkTracker(const Clock& clock) : clock_(clock) {}

  /// Starts, advances or ends the work that `note` describes. A note that ends
  /// unknown work is ignored.
  void Apply(const InstanceId& owner, const WorkNote& note);
  /// Drops all work of an entry that is no longer there.
  void RemoveOwner(const InstanceId& owner);
  /// Drops the work whose decode engine has restarted or was removed. Work that
  /// this engine only helps with stays, with its backlog and memory.
  void RemoveEngine(const EngineId& engine);

  /// Returns notes of all work of one entry. Applying them to another tracker
  /// reproduces this work there; its age and its prefill time start anew.
  std::vector<WorkNote> ListOwnerWork(const InstanceId& owner) const;

  EngineLoad GetEngineLoad(const EngineId& engine) const;

  /// A stream of this entry brought events from `engine`. Ignored without work
  /// there.
  void RecordProgress(const EngineId& engine);
  /// Time of the engine's last sign of progress: `RecordProgress`, or the first
  /// event of a prompt of any entry that it prefilled, whole or in part. Absent
  /// if there was none.
  std::optional<MonotonicTime> GetLastProgress(const EngineId& engine) const;

  /// Upper limit of the time that a request lasts. Older work is taken as
  /// ended, with the note of its end lost, and is dropped when other work
  /// starts.
  static constexpr Duration kMaxAge = std::chrono::seconds(30);

 private:
  struct Work {
    InstanceId owner;
    WorkNote note;
    MonotonicTime started_at;
  };
  struct Engine {
    /// Time when all prefills there will be done.
    MonotonicTime prefill_done_at{};
    std::optional<MonotonicTime> last_progress;
    std::set<AttemptId> attempts;
  };

  void Start(const InstanceId& owner, const WorkNote& note);
  /// Marks the work's prefill as done at all of its engines.
  void FinishPrefill(Work& work);
  void Remove(const AttemptId& attempt);
  /// Limits the backlog to the prefill parts that are not done yet.
  void ShortenBacklog(const EngineId& engine);
  void RemoveExpired();
  static std::vector<EngineId> ListEngines(const WorkNote& note);

  const Clock& clock_;
  std::unordered_map<AttemptId, Work> work_items_;
  std::unordered_map<EngineId, Engine> engines_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_
