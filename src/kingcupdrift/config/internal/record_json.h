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

/// Largest JSON text of a head record or proposal in bytes; checked when it is
/// read.
inline constexpr std::size_t kMaxRecordBytes = 16'384;

/// Compact JSON text; invalid UTF-8 is replaced.
std::string DumpRecord(const RecordJson& json);
/// Parses an object of at most `kMaxRecordBytes`; nullopt for any other text.
std::optional<RecordJson> ParseRecord(std::string_view text);

void WriteDigestFields(const DocumentDigests& digests, RecordJson& json);
/// Fields that are absent or of another type are skipped.
DocumentDigests ReadDigestFields(const RecordJson& json);

/// A field that is absent or of another type reads as "" or 0 without an error.
/// To find such fields, the caller serializes the result and compares it with
/// the input.
std::string ReadStringField(const RecordJson& json, const char* key);
std::int64_t ReadIntegerField(const RecordJson& json, const char* key);

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_RECORD_JSON_H_
