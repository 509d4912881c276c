#include "kingcupdrift/forwarding/internal/quarantine_records.h"

#include <fmt/format.h>

#include <algorithm>

#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/forwarding/work_quarantine.h"

namespace kingcupdrift {
namespace {

const Logger kLog("quarantine");

// Parts are named by callers and may have any length.
std::string MakeRecordKey(const WorkKey& key) {
  return fmt::format("{}{:016x}", QuarantineRecords::kPrefix,
                     FastHash(key.value()));
}

}  // namespace

void QuarantineRecords::Write(const std::vector<WorkKey>& quarantined) {
  const MonotonicTime now = clock_.Now();
  std::erase_if(next_try_at_, [&quarantined](const auto& it) {
    return std::find(quarantined.begin(), quarantined.end(), it.first) ==
           quarantined.end();
  });
  for (const WorkKey& key : quarantined) {
    const auto next_try =
        next_try_at_.try_emplace(key, now + kRecordDelay).first;
    if (!recorded_.contains(MakeRecordKey(key)) && now >= next_try->second) {
      next_try->second = now + kRetryDelay;
      Store(key);
    }
  }
}

void QuarantineRecords::Store(const WorkKey& key) {
  const std::weak_ptr<bool> alive = lifetime_token_;
  store_.GrantLease(
      WorkQuarantine::kQuarantineTime,
      [this, alive, key](const Result<LeaseId>& lease) {
        if (alive.expired() || !lease) {
          return;
        }
        store_.CompareAndSwap(
            MakeRecordKey(key), StoreVersion(), ToJson({{"part", key.value()}}),
            *lease, [](const Result<StoreVersion>& written) {
              if (!written && written.error().code != ErrorCode::kConflict) {
                kLog.Warning("Could not record a quarantine: {}.",
                             written.error().detail);
              }
            });
      });
}

WorkKey QuarantineRecords::Apply(const std::string& key,
                                 const std::optional<StoreValue>& value) {
  if (!value) {
    const auto node = recorded_.extract(key);
    return node.empty() ? WorkKey() : node.mapped();
  }
  WorkKey work(GetStringField(ParseJson(value->value), "part"));
  if (work.empty()) {
    kLog.Warning("Ignored the record {}: it names no work.", key);
    return work;
  }
  recorded_[key] = work;
  return work;
}

}  // namespace kingcupdrift
