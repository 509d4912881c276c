#include "kingcupdrift/engines/group_reserver.h"

#include <utility>

#include "kingcupdrift/engines/internal/group.h"

namespace kingcupdrift {

GroupReserver::GroupReserver(Clock& clock,
                             Random& random,
                             EngineClient& engines,
                             InstanceId self,
                             GroupReserverOptions options)
    : clock_(clock),
      random_(random),
      engines_(engines),
      self_(std::move(self)),
      options_(options) {}

GroupReserver::~GroupReserver() = default;

ReservationId GroupReserver::Acquire(const AttemptId& attempt,
                                     std::vector<GroupMember> members,
                                     MonotonicTime deadline,
                                     Callback callback,
                                     LostCallback lost) {
  ReservationRequest request;
  request.id = ReservationId(random_.GenerateToken());
  request.owner = self_;
  request.attempt = attempt;
  request.time_to_live = options_.time_to_live;
  ReservationId id = request.id;
  const Group::Context context{clock_, engines_, options_};
  auto group = std::make_unique<Group>(
      context, std::move(request), std::move(members), std::move(callback),
      std::move(lost), [this, id] { Finish(id); });
  groups_.emplace(id, std::move(group)).first->second->Start(deadline);
  return id;
}

void GroupReserver::Release(const ReservationId& reservation) {
  const auto it = groups_.find(reservation);
  if (it != groups_.end()) {
    it->second->Release();
  }
}

void GroupReserver::Finish(const ReservationId& reservation) {
  groups_.erase(reservation);
}

}  // namespace kingcupdrift
