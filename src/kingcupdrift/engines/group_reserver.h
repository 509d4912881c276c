#ifndef KINGCUPDRIFT_ENGINES_GROUP_RESERVER_H_
#define KINGCUPDRIFT_ENGINES_GROUP_RESERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Memory to reserve on one engine of a group.
struct GroupMember {
  EngineAddress engine;
  TokenCount tokens;
};

struct GroupReserverOptions {
  /// An engine frees a reservation that was not renewed for this time.
  Duration time_to_live = std::chrono::seconds(15);
  Duration renew_interval = std::chrono::seconds(5);
  /// Constant time from a release call that failed without an answer of the
  /// engine to its retry.
  Duration release_retry_interval = std::chrono::milliseconds(500);
};

/// Reserves memory on all engines of a group, or on none.
///
/// Reserve calls go to the engines one after the other in the order of their
/// identifiers; an engine answers without waiting for memory. On the first
/// failure all reservations are released, also one whose reply was lost. So a
/// request never waits while it holds memory, and two requests cannot deadlock.
/// A held group is renewed until it is released; reservations of a dead entry
/// (serving process) expire at the engine.
class GroupReserver {
 public:
  /// kOverloaded: an engine lacks memory now; kDeadlineExceeded; otherwise the
  /// error of the engine that failed.
  using Callback = std::function<void(Result<void>)>;
  /// An engine refused a renewal, or a reservation expired before a renewal was
  /// confirmed (kConnectionLost, noticed when the next renewal is due, so up to
  /// `renew_interval` later): the group may no longer hold all its memory. Its
  /// release has begun.
  using LostCallback = std::function<void(Error)>;

  GroupReserver(Clock& clock,
                Random& random,
                EngineClient& engines,
                InstanceId self,
                GroupReserverOptions options = {});
  /// Sends nothing and drops all callbacks; held reservations expire at their
  /// engines.
  ~GroupReserver();
  GroupReserver(const GroupReserver&) = delete;
  GroupReserver& operator=(const GroupReserver&) = delete;

  /// Starts reserving on one or more distinct engines. The identifier may be
  /// passed to `Release` at any time; before the callback, that suppresses it.
  ReservationId Acquire(const AttemptId& attempt,
                        std::vector<GroupMember> members,
                        MonotonicTime deadline,
                        Callback callback,
                        LostCallback lost);

  /// Releases the group's memory. An unanswered release is retried until the
  /// engine answers or the reservation has expired there. It is not retried at
  /// an engine that never confirmed the reservation, which then expires by
  /// itself. Unknown identifiers are ignored.
  void Release(const ReservationId& reservation);

  /// Number of groups being reserved, held or being released.
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
