#ifndef KINGCUPDRIFT_BASE_STRONG_ID_H_
#define KINGCUPDRIFT_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace kingcupdrift {

/// A textual identifier that does not convert to identifiers of other kinds.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  std::string value_;
};

using AttemptId = StrongId<struct AttemptTag>;
using EngineId = StrongId<struct EngineTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using InstanceId = StrongId<struct InstanceTag>;
using ReservationId = StrongId<struct ReservationTag>;
using RequestId = StrongId<struct RequestTag>;
using ServiceId = StrongId<struct ServiceTag>;
using SiteId = StrongId<struct SiteTag>;
using WorkspaceId = StrongId<struct WorkspaceTag>;

}  // namespace kingcupdrift

template <typename Tag>
struct std::hash<kingcupdrift::StrongId<Tag>> {
  std::size_t operator()(const kingcupdrift::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // KINGCUPDRIFT_BASE_STRONG_ID_H_
