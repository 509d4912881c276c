#include "kingcupdrift/config/config_head.h"

#include "kingcupdrift/config/internal/record_json.h"

namespace kingcupdrift {

std::string Serialize(const ConfigHead& head) {
  internal::RecordJson json;
  json["generation"] = head.generation.value();
  internal::WriteDigestFields(head.documents, json);
  json["approver"] = head.approver;
  json["approved_at_us"] = head.approved_at.time_since_epoch().count();
  json["proposal"] = head.proposal;
  json["previous"] = head.previous;
  return internal::DumpRecord(json);
}

std::string HeadDigest(const ConfigHead& head) {
  return ComputeSha256Hex(Serialize(head));
}

Result<ConfigHead> ParseConfigHead(std::string_view text) {
  const auto json = internal::ParseRecord(text);
  if (!json) {
    return MakeError(
        ErrorCode::kProtocol,
        "the head record is not a JSON object of at most 16384 bytes");
  }
  ConfigHead head;
  head.generation = Generation(internal::ReadIntegerField(*json, "generation"));
  head.documents = internal::ReadDigestFields(*json);
  head.approver = internal::ReadStringField(*json, "approver");
  head.approved_at =
      WallTime(Duration(internal::ReadIntegerField(*json, "approved_at_us")));
  head.proposal = internal::ReadStringField(*json, "proposal");
  head.previous = internal::ReadStringField(*json, "previous");
  if (head.generation.value() < 1 || Serialize(head) != text) {
    return MakeError(ErrorCode::kProtocol,
                     "the head record is not in the canonical form, or its "
                     "generation is below 1");
  }
  return head;
}

Result<void> VerifyHeadChain(const std::vector<ConfigHead>& records) {
  for (std::size_t i = 0; i < records.size(); ++i) {
    const ConfigHead& record = records[i];
    const bool is_first = record.generation == Generation(1);
    if (is_first != record.previous.empty()) {
      return MakeError(
          ErrorCode::kProtocol,
          fmt::format("generation {}: \"previous\" must be empty for "
                      "generation 1 and only there",
                      record.generation.value()));
    }
    if (i == 0) {
      continue;
    }
    const ConfigHead& before = records[i - 1];
    if (record.generation != before.generation + Generation(1) ||
        record.previous != HeadDigest(before)) {
      return MakeError(
          ErrorCode::kProtocol,
          fmt::format("generation {} does not follow generation {}",
                      record.generation.value(), before.generation.value()));
    }
  }
  return {};
}

}  // namespace kingcupdrift
