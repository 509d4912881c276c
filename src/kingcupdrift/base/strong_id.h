#ifndef KINGCUPDRIFT_BASE_STRONG_ID_H_
#define KINGCUPDRIFT_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace kingcupdrift {

/// A text identifier that does not convert to identifiers of other kinds.
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

/// One try of a request at one engine.
using AttemptId = StrongId<struct AttemptTag>;
using EngineId = StrongId<struct EngineTag>;
/// Machines that may fail together, such as the platform's zone.
using FailureDomain = StrongId<struct FailureDomainTag>;
/// One entry (serving process): a fixed name in `serve`; a new name at each
/// start on the platform.
using InstanceId = StrongId<struct InstanceTag>;
/// A part of a prompt that prompts of other requests may contain too.
using PromptPartId = StrongId<struct PromptPartTag>;
/// Memory, as KV cache space counted in tokens, that one attempt reserves on
/// one or more engines.
using ReservationId = StrongId<struct ReservationTag>;
using RequestId = StrongId<struct RequestTag>;
/// A configured service that requests are routed to: one that serves a model,
/// or a plain HTTP service.
using ServiceId = StrongId<struct ServiceTag>;
using SiteId = StrongId<struct SiteTag>;
/// What requests that do the same work have in common: a shared part of their
/// prompts, or the digest of the whole request.
using WorkKey = StrongId<struct WorkKeyTag>;
using WorkspaceId = StrongId<struct WorkspaceTag>;

}  // namespace kingcupdrift

template <typename Tag>
struct std::hash<kingcupdrift::StrongId<Tag>> {
  std::size_t operator()(const kingcupdrift::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // KINGCUPDRIFT_BASE_STRONG_ID_H_
