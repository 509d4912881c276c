#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_RECORD_JSON_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_RECORD_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift::internal {

using RecordJson = nlohmann::ordered_json;

/// Largest text of a record in bytes.
inline constexpr std::size_t kMaxRecordBytes = 16'384;

std::string DumpRecord(const RecordJson& json);
/// An object of at most `kMaxRecordBytes`, or nothing.
std::optional<RecordJson> ParseRecord(std::string_view text);

void WriteDigestFields(const DocumentDigests& digests, RecordJson& json);
DocumentDigests ReadDigestFields(const RecordJson& json);

/// Fields that are absent or of another type read as empty and 0; the caller
/// compares the whole text afterwards.
std::string ReadStringField(const RecordJson& json, const char* key);
std::int64_t ReadIntegerField(const RecordJson& json, const char* key);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_RECORD_JSON_H_
