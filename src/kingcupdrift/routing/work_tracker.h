#ifndef KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_
#define KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// What runs at one engine, as far as entries told each other.
struct EngineLoad {
  /// Time to read all that waits there.
  Duration backlog{0};
  /// Streams that write, or will once their prompt is read.
  int streams = 0;
  /// Prompts that are read there in part for other engines.
  int partial_prefills = 0;
  /// Memory that prompts and answers take, or will take.
  TokenCount context;
  /// Shortest pause that the caller of a stream accepts; zero without streams.
  Duration max_event_gap{0};
};

/// Work of all entries at all engines. Entries tell each other what they send,
/// since the engines' own reports lag behind.
class WorkTracker {
 public:
  explicit WorkTracker(const Clock& clock) : clock_(clock) {}

  void Apply(const InstanceId& owner, const WorkNote& note);
  /// Forgets all work of an entry that is gone.
  void RemoveOwner(const InstanceId& owner);
  /// The engine started anew, or is gone: nothing runs there.
  void RemoveEngine(const EngineId& engine);

  /// All work of one entry, as it can be told to another.
  std::vector<WorkNote> ListOwnerWork(const InstanceId& owner) const;

  EngineLoad GetEngineLoad(const EngineId& engine) const;

  /// No request lasts longer; bounds what a lost note leaves behind.
  static constexpr Duration kMaxAge = std::chrono::seconds(30);

 private:
  struct Work {
    InstanceId owner;
    WorkNote note;
    MonotonicTime started_at;
  };
  struct Engine {
    /// When all reading there will be done.
    MonotonicTime prefill_done_at{};
    std::set<AttemptId> attempts;
  };

  void Start(const InstanceId& owner, const WorkNote& note);
  /// The work's parts are read everywhere.
  void FinishPrefill(Work& work);
  void Remove(const AttemptId& attempt);
  void ShortenBacklog(const EngineId& engine);
  void RemoveExpired();
  static std::vector<EngineId> ListEngines(const WorkNote& note);

  const Clock& clock_;
  std::unordered_map<AttemptId, Work> work_items_;
  std::unordered_map<EngineId, Engine> engines_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_WORK_TRACKER_H_
