#include "kingcupdrift/config/config_proposal.h"

#include <algorithm>

#include "kingcupdrift/config/internal/record_json.h"

namespace kingcupdrift {
namespace {

constexpr std::size_t kMaxNameBytes = 128;

}  // namespace

std::string Serialize(const ConfigProposal& proposal) {
  internal::RecordJson json;
  internal::WriteDigestFields(proposal.documents, json);
  json["based_on"] = proposal.based_on;
  json["based_on_generation"] = proposal.based_on_generation.value();
  json["submitter"] = proposal.submitter;
  json["submitted_at_us"] = proposal.submitted_at.time_since_epoch().count();
  return internal::DumpRecord(json);
}

std::string ProposalDigest(const ConfigProposal& proposal) {
  return ComputeSha256Hex(Serialize(proposal));
}

Result<ConfigProposal> ParseConfigProposal(std::string_view text) {
  const auto json = internal::ParseRecord(text);
  if (!json) {
    return MakeError(
        ErrorCode::kProtocol,
        "the proposal is not a JSON object of at most 16384 bytes");
  }
  ConfigProposal proposal;
  proposal.documents = internal::ReadDigestFields(*json);
  proposal.based_on = internal::ReadStringField(*json, "based_on");
  proposal.based_on_generation =
      Generation(internal::ReadIntegerField(*json, "based_on_generation"));
  proposal.submitter = internal::ReadStringField(*json, "submitter");
  proposal.submitted_at =
      WallTime(Duration(internal::ReadIntegerField(*json, "submitted_at_us")));
  if (Serialize(proposal) != text) {
    return MakeError(ErrorCode::kProtocol,
                     "the proposal is not in the canonical form");
  }
  return proposal;
}

bool IsOperatorName(std::string_view name) {
  const auto is_control = [](char c) {
    return (c >= 0 && c < ' ') || c == '\x7f';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::none_of(name.begin(), name.end(), is_control);
}

}  // namespace kingcupdrift
