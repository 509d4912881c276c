#ifndef KINGCUPDRIFT_FORWARDING_SERVING_GROUP_H_
#define KINGCUPDRIFT_FORWARDING_SERVING_GROUP_H_

#include <cstddef>
#include <set>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

struct ServingCandidate {
  InstanceId id;
  FailureDomain failure_domain;
  /// Processor cores that the entry may use; 0 if not known.
  double cores = 0;
};

/// Chooses the entries (serving processes) to which callers are sent. Entries
/// that decide about the same engines must know each other's work, which costs
/// messages in proportion to the square of their number; so a few serve, and
/// the others are in reserve.
///
/// The candidates are ranked: in each failure domain by cores, most first, and
/// the domains in turn. The group is the first `kMinSize` of them, and as many
/// more as `requests_per_second` need. All entries that know the same
/// candidates choose the same group.
std::set<InstanceId> ChooseServingGroup(
    std::vector<ServingCandidate> candidates,
    double requests_per_second);

/// Fleets up to this size serve together.
inline constexpr std::size_t kMinServingGroupSize = 16;
/// Processor time of one request, with its share of all other work.
inline constexpr double kCoreSecondsPerRequest = 0.0025;
/// The group has this many times the cores that its load needs, so that it can
/// lose members and bear bursts.
inline constexpr double kServingGroupHeadroom = 4;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_SERVING_GROUP_H_
