#ifndef KINGCUPDRIFT_ENGINES_GROUP_RESERVER_H_
#define KINGCUPDRIFT_ENGINES_GROUP_RESERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Memory wanted on one engine of a group.
struct GroupMember {
  EngineAddress engine;
  TokenCount tokens;
};

struct GroupReserverOptions {
  /// Expiry of a reservation unless renewed.
  Duration time_to_live = std::chrono::seconds(15);
  Duration renew_interval = std::chrono::seconds(5);
  /// Pause between repeated releases that got no answer.
  Duration release_backoff = std::chrono::milliseconds(500);
};

/// Reserves memory on all engines of a group, or on none.
///
/// Engines are asked one after the other in the order of their identifiers and
/// answer at once. On the first failure everything taken is given back, the
/// reservation with the lost reply included, so that a request never waits
/// while it holds memory, and two requests cannot wait for each other. A held
/// group is renewed until it is released; what a dead entry leaves behind
/// expires at the engine.
class GroupReserver {
 public:
  /// kOverloaded: an engine lacks memory now; kDeadlineExceeded; otherwise the
  /// error of the engine that failed.
  using Callback = std::function<void(Result<void>)>;
  /// An engine refused a renewal: the group no longer holds all its memory. It
  /// was given back.
  using LostCallback = std::function<void(Error)>;

  GroupReserver(Clock& clock,
                Random& random,
                EngineClient& engines,
                InstanceId self,
                GroupReserverOptions options = {});
  ~GroupReserver();
  GroupReserver(const GroupReserver&) = delete;
  GroupReserver& operator=(const GroupReserver&) = delete;

  /// Starts reserving on one or more distinct engines. The identifier serves
  /// `Release` at any time, before the callback too (then no callback comes).
  ReservationId Acquire(const AttemptId& attempt,
                        std::vector<GroupMember> members,
                        MonotonicTime deadline,
                        Callback callback,
                        LostCallback lost);

  /// Gives the group's memory back, repeated until each engine answered or the
  /// reservation has expired there. Unknown identifiers are ignored.
  void Release(const ReservationId& reservation);

  /// Groups held, being taken or being given back.
  std::size_t size() const { return groups_.size(); }

 private:
  class Group;

  void Finish(const ReservationId& reservation);

  Clock& clock_;
  Random& random_;
  EngineClient& engines_;
  InstanceId self_;
  GroupReserverOptions options_;
  std::map<ReservationId, std::unique_ptr<Group>> groups_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_GROUP_RESERVER_H_
