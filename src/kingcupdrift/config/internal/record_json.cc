#include "kingcupdrift/config/internal/record_json.h"

namespace kingcupdrift::internal {
namespace {

constexpr char kBaseField[] = "base";
constexpr char kOverlaysField[] = "overlays";

}  // namespace

std::string DumpRecord(const RecordJson& json) {
  return json.dump(-1, ' ', false, RecordJson::error_handler_t::replace);
}

std::optional<RecordJson> ParseRecord(std::string_view text) {
  if (text.size() > kMaxRecordBytes) {
    return std::nullopt;
  }
  RecordJson json = RecordJson::parse(text, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return json;
}

void WriteDigestFields(const DocumentDigests& digests, RecordJson& json) {
  json[kBaseField] = digests.base;
  RecordJson overlays = RecordJson::object();
  for (const auto& [site, digest] : digests.overlays) {
    overlays[site.value()] = digest;
  }
  json[kOverlaysField] = std::move(overlays);
}

DocumentDigests ReadDigestFields(const RecordJson& json) {
  DocumentDigests out;
  out.base = ReadStringField(json, kBaseField);
  const auto it = json.find(kOverlaysField);
  if (it == json.end() || !it->is_object()) {
    return out;
  }
  for (const auto& [site, digest] : it->items()) {
    if (digest.is_string()) {
      out.overlays[SiteId(site)] = digest.get<std::string>();
    }
  }
  return out;
}

std::string ReadStringField(const RecordJson& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_string()) {
    return "";
  }
  return it->get<std::string>();
}

std::int64_t ReadIntegerField(const RecordJson& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_integer()) {
    return 0;
  }
  return it->get<std::int64_t>();
}

}  // namespace kingcupdrift::internal
