#ifndef KINGCUPDRIFT_FORWARDING_ENTRY_RECORD_H_
#define KINGCUPDRIFT_FORWARDING_ENTRY_RECORD_H_

#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// One entry (a serving process) and the endpoints where peers and callers
/// reach it.
struct EntryRecord {
  InstanceId id;
  Endpoint peer_endpoint;
  Endpoint caller_endpoint;
  FailureDomain failure_domain;
  /// Processor cores that the entry may use; 0 if not known.
  double cores = 0;
};

/// Convert a record to its text in the platform's store and back.
/// kInvalidArgument if the text is not a valid record.
std::string EncodeEntryRecord(const EntryRecord& record);
Result<EntryRecord> DecodeEntryRecord(const std::string& text);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_ENTRY_RECORD_H_
