#include "kingcupdrift/forwarding/entry_record.h"

#include "kingcupdrift/api/json_fields.h"

namespace kingcupdrift {

std::string EncodeEntryRecord(const EntryRecord& record) {
  return ToJson({{"instance", record.id.value()},
                 {"peers", ToString(record.peer_endpoint)},
                 {"callers", ToString(record.caller_endpoint)},
                 {"failure_domain", record.failure_domain.value()},
                 {"cores", record.cores}});
}

Result<EntryRecord> DecodeEntryRecord(const std::string& text) {
  const nlohmann::json document = ParseJson(text);
  const auto peers = ParseEndpoint(GetStringField(document, "peers"));
  const auto callers = ParseEndpoint(GetStringField(document, "callers"));
  const std::string id = GetStringField(document, "instance");
  if (!peers || !callers || id.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "not a valid entry record");
  }
  EntryRecord record{InstanceId(id), *peers, *callers,
                     FailureDomain(GetStringField(document, "failure_domain"))};
  // Records of earlier builds have no cores.
  const auto cores = document.find("cores");
  if (cores != document.end() && cores->is_number()) {
    record.cores = cores->get<double>();
  }
  return record;
}

}  // namespace kingcupdrift
