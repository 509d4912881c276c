#include "kingcupdrift/forwarding/internal/quarantine_records.h"

#include <fmt/format.h>

#include <algorithm>

#include "kingcupdrift/api/json_fields.h"
#include "kingcupdrift/forwarding/prompt_part_quarantine.h"

namespace kingcupdrift {
namespace {

const Logger kLog("quarantine");

// Parts are named by callers and may have any length.
std::string MakeKey(const PromptPartId& part) {
  return fmt::format("{}{:016x}", QuarantineRecords::kPrefix,
                     FastHash(part.value()));
}

}  // namespace

void QuarantineRecords::Write(const std::vector<PromptPartId>& quarantined) {
  const MonotonicTime now = clock_.Now();
  std::erase_if(next_try_at_, [&quarantined](const auto& it) {
    return std::find(quarantined.begin(), quarantined.end(), it.first) ==
           quarantined.end();
  });
  for (const PromptPartId& part : quarantined) {
    const auto next_try =
        next_try_at_.try_emplace(part, now + kRecordDelay).first;
    if (!recorded_.contains(MakeKey(part)) && now >= next_try->second) {
      next_try->second = now + kRetryDelay;
      Store(part);
    }
  }
}

void QuarantineRecords::Store(const PromptPartId& part) {
  const std::weak_ptr<bool> alive = lifetime_token_;
  store_.GrantLease(
      PromptPartQuarantine::kQuarantineTime,
      [this, alive, part](const Result<LeaseId>& lease) {
        if (alive.expired() || !lease) {
          return;
        }
        store_.CompareAndSwap(
            MakeKey(part), StoreVersion(), ToJson({{"part", part.value()}}),
            *lease, [](const Result<StoreVersion>& written) {
              if (!written && written.error().code != ErrorCode::kConflict) {
                kLog.Warning("Could not record a quarantine: {}.",
                             written.error().detail);
              }
            });
      });
}

PromptPartId QuarantineRecords::Apply(const std::string& key,
                                      const std::optional<StoreValue>& value) {
  if (!value) {
    const auto node = recorded_.extract(key);
    return node.empty() ? PromptPartId() : node.mapped();
  }
  PromptPartId part(GetStringField(ParseJson(value->value), "part"));
  if (part.empty()) {
    kLog.Warning("Ignored the record {}: it names no part of a prompt.", key);
    return part;
  }
  recorded_[key] = part;
  return part;
}

}  // namespace kingcupdrift
