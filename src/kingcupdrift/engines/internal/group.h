#ifndef KINGCUPDRIFT_ENGINES_INTERNAL_GROUP_H_
#define KINGCUPDRIFT_ENGINES_INTERNAL_GROUP_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kingcupdrift/engines/group_reserver.h"

namespace kingcupdrift {

/// The reservations of one group, which are being acquired, held or being
/// released.
class GroupReserver::Group {
 public:
  struct Context {
    Clock& clock;
    EngineClient& engines;
    const GroupReserverOptions& options;
  };

  Group(Context context,
        ReservationRequest request,
        std::vector<GroupMember> members,
        Callback callback,
        LostCallback lost,
        std::function<void()> on_finished);

  void Start(MonotonicTime deadline);
  /// Releases all reservations; only `on_finished` is called afterwards.
  void Release();

 private:
  enum class State { kAcquiring, kHeld, kReleasing };
  using Handler = void (Group::*)(std::size_t index, const Result<void>&);

  void ReserveNext();
  /// Reserves or renews one member.
  void SendReserve(std::size_t index, Handler handler);
  void OnMemberReserved(std::size_t index, const Result<void>& reserved);
  void OnHeld();
  void Fail(Error error);
  void ScheduleRenewal();
  void Renew();
  void OnRenewed(std::size_t index, const Result<void>& renewed);
  void ReportLost(Error error);
  void StartReleasing();
  void ReleaseMember(std::size_t index);
  void OnReleased(std::size_t index, bool has_replied);
  void FinishIfDone();

  Context context_;
  ReservationRequest request_;
  std::vector<GroupMember> members_;
  Callback callback_;
  LostCallback lost_;
  std::function<void()> on_finished_;
  State state_ = State::kAcquiring;
  // Number of members that were sent a reserve call and may hold memory.
  std::size_t requested_members_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t unreleased_ = 0;
  // Time at which each member's confirmed reservation expires unless renewed.
  std::vector<MonotonicTime> valid_until_;
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> renew_timer_;
  std::map<std::size_t, std::unique_ptr<Timer>> release_timers_;
  // Checked by engine callbacks, which may run after destruction.
  std::shared_ptr<bool> lifetime_token_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ENGINES_INTERNAL_GROUP_H_
