#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_QUARANTINE_RECORDS_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_QUARANTINE_RECORDS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Records in the platform's store of the keys of work that are in quarantine,
/// so that it outlasts the end of all entries (serving processes).
/// Each record is under a lease of its own, which is not renewed: the record
/// vanishes when the quarantine has ended.
class QuarantineRecords {
 public:
  QuarantineRecords(PlatformStore& store, Clock& clock)
      : store_(store), clock_(clock) {}

  /// Writes a record of each key that has been listed for `kRecordDelay` and
  /// has none yet. To be called at intervals, by one entry of the fleet.
  void Write(const std::vector<WorkKey>& quarantined);
  /// A record was written or, without `value`, deleted. Returns its key; empty
  /// if the record is not valid or not known.
  WorkKey Apply(const std::string& key, const std::optional<StoreValue>& value);

  /// Prefix of the records' keys.
  static constexpr std::string_view kPrefix = "kingcupdrift/quarantine/";
  /// An engine may still answer a request that was sent before, which ends the
  /// quarantine.
  static constexpr Duration kRecordDelay = std::chrono::seconds(1);
  /// Least time between two tries to write one record.
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);

 private:
  void Store(const WorkKey& key);

  PlatformStore& store_;
  Clock& clock_;
  // Quarantined keys by the store's key of their record.
  std::map<std::string, WorkKey> recorded_;
  // Time of the next try to write the record of a quarantined key.
  std::map<WorkKey, MonotonicTime> next_try_at_;
  // Expires with this object: callbacks of calls that outlive it do nothing.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_QUARANTINE_RECORDS_H_
