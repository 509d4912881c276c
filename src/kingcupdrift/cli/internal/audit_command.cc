#include "kingcupdrift/cli/internal/audit_command.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "kingcupdrift/cli/internal/fan_out.h"

namespace kingcupdrift::internal {
namespace {

constexpr char kStatusTarget[] = "/admin/status";

std::string_view VerdictName(AuditVerdict verdict) {
  switch (verdict) {
    case AuditVerdict::kInForce:
      return "in force";
    case AuditVerdict::kDiffers:
      return "DIFFERS";
    case AuditVerdict::kNoAnswer:
      return "NO ANSWER";
  }
  return "";
}

std::string GetStringMember(const Json& json, const char* key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t GetIntegerMember(const Json& json, const char* key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                     : 0;
}

AuditRow RowOf(const InstanceResponse& answer, const StoredHead& head) {
  AuditRow row;
  Result<AuditRow> parsed =
      answer.body ? ParseStatus(*answer.body)
                  : Result<AuditRow>(tl::unexpected(answer.body.error()));
  if (!parsed) {
    row.endpoint = answer.instance;
    row.fault = fmt::format("{}: {}", GetErrorCodeName(parsed.error().code),
                            parsed.error().detail);
    return row;
  }
  row = std::move(*parsed);
  row.endpoint = answer.instance;
  const bool is_same =
      row.generation == head.head.generation && row.digest == head.digest;
  row.verdict = is_same ? AuditVerdict::kInForce : AuditVerdict::kDiffers;
  return row;
}

Json RowJson(const AuditRow& row) {
  return {{"endpoint", ToString(row.endpoint)},
          {"instance", row.instance},
          {"site", row.site},
          {"verdict", row.verdict == AuditVerdict::kInForce   ? "in_force"
                      : row.verdict == AuditVerdict::kDiffers ? "differs"
                                                              : "no_answer"},
          {"generation", row.generation.value()},
          {"digest", row.digest},
          {"in_force_since", FormatTime(row.in_force_since)},
          {"fault", row.fault}};
}

}  // namespace

Result<AuditRow> ParseStatus(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("generation")) {
    return MakeError(ErrorCode::kProtocol,
                     "the body is not an instance's status");
  }
  AuditRow row;
  row.instance = GetStringMember(json, "instance");
  row.site = GetStringMember(json, "site");
  row.generation = Generation(GetIntegerMember(json, "generation"));
  row.digest = GetStringMember(json, "head_digest");
  row.in_force_since =
      WallTime(Duration(GetIntegerMember(json, "in_force_since_us")));
  return row;
}

ExitCode AuditCommand::Run(const std::vector<Endpoint>& instances,
                           const StoredHead& head) {
  const std::vector<AuditRow> rows = QueryInstances(instances, head);
  Report(rows, head);
  const auto count = [&rows](AuditVerdict verdict) {
    return std::count_if(
        rows.begin(), rows.end(),
        [verdict](const AuditRow& it) { return it.verdict == verdict; });
  };
  const auto differing = count(AuditVerdict::kDiffers);
  const auto unanswered = count(AuditVerdict::kNoAnswer);
  if (differing == 0 && unanswered == 0 && !rows.empty()) {
    return ExitCode::kOk;
  }
  io_.err << "Audit failed: " << differing << " of " << rows.size()
          << " instances differ, " << unanswered << " gave no answer.\n"
          << "Next: a change takes up to 7 s; repeat the audit. Replace an "
             "instance that still differs, and look at its log.\n";
  return differing > 0 || rows.empty() ? ExitCode::kFailure
                                       : ExitCode::kUnreachable;
}

std::vector<AuditRow> AuditCommand::QueryInstances(
    const std::vector<Endpoint>& instances,
    const StoredHead& head) {
  std::vector<AuditRow> rows;
  for (const InstanceResponse& it : QueryAllInstances(
           instances, kStatusTarget, admin_, loop_, time_limit_)) {
    rows.push_back(RowOf(it, head));
  }
  return rows;
}

void AuditCommand::Report(const std::vector<AuditRow>& rows,
                          const StoredHead& head) {
  if (io_.is_json) {
    Json list = Json::array();
    for (const AuditRow& it : rows) {
      list.push_back(RowJson(it));
    }
    WriteJson({{"generation", head.head.generation.value()},
               {"digest", head.digest},
               {"approver", head.head.approver},
               {"approved_at", FormatTime(head.head.approved_at)},
               {"instances", list}},
              io_.out);
    return;
  }
  io_.out << "Approved: generation " << head.head.generation.value()
          << ", digest " << ShortDigest(head.digest) << ", by "
          << head.head.approver << " at " << FormatTime(head.head.approved_at)
          << '\n';
  std::vector<std::vector<std::string>> table = {{"INSTANCE", "ADDRESS", "SITE",
                                                  "GENERATION", "DIGEST",
                                                  "SINCE", "VERDICT"}};
  for (const AuditRow& it : rows) {
    const bool is_unanswered = it.verdict == AuditVerdict::kNoAnswer;
    table.push_back(
        {it.instance.empty() ? "-" : it.instance, ToString(it.endpoint),
         it.site.empty() ? "-" : it.site,
         is_unanswered ? "-" : std::to_string(it.generation.value()),
         ShortDigest(it.digest),
         it.generation == Generation(0) ? "-" : FormatTime(it.in_force_since),
         is_unanswered
             ? fmt::format("{} ({})", VerdictName(it.verdict), it.fault)
             : std::string(VerdictName(it.verdict))});
  }
  WriteTable(table, io_.out);
}

}  // namespace kingcupdrift::internal
