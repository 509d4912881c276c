#include "kingcupdrift/cli/internal/config_commands.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/cli/internal/line_diff.h"
#include "kingcupdrift/cli/internal/offline_commands.h"

namespace kingcupdrift::internal {
namespace {

/// Added to the store calls' time limit when waiting for their callbacks.
constexpr Duration kStoreWaitMargin = std::chrono::seconds(5);
constexpr char kStoreAdvice[] =
    "check --store and the platform's store, then repeat the command; nothing "
    "was changed.";

std::string GenerationText(const std::optional<StoredHead>& head) {
  return std::to_string(head ? head->head.generation.value() : 0);
}

}  // namespace

ConfigCommands::ConfigCommands(PlatformStore& platform,
                               Clock& clock,
                               Random& random,
                               CommandLoop& loop,
                               Duration time_limit,
                               const CommandIo& io)
    : loop_(loop),
      wait_limit_(time_limit + kStoreWaitMargin),
      io_(io),
      store_(platform, clock, random, time_limit) {}

Result<std::optional<StoredHead>> ConfigCommands::LoadHead() {
  return Await<std::optional<StoredHead>>(
      loop_, wait_limit_, [this](auto callback) { store_.LoadHead(callback); });
}

Result<ConfigDocuments> ConfigCommands::LoadDocuments(
    const DocumentDigests& digests) {
  return Await<ConfigDocuments>(loop_, wait_limit_, [&](auto callback) {
    store_.LoadDocuments(digests, callback);
  });
}

Result<ConfigDocuments> ConfigCommands::LoadDocumentsOf(
    const std::optional<StoredHead>& it) {
  if (!it) {
    return ConfigDocuments();
  }
  return LoadDocuments(it->head.documents);
}

Result<ConfigFiles> ConfigCommands::LoadApproved() {
  const auto head = LoadHead();
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (!*head) {
    return MakeError(ErrorCode::kNotFound,
                     "no configuration has been approved yet");
  }
  Result<ConfigDocuments> documents = LoadDocumentsOf(*head);
  if (!documents) {
    return tl::unexpected(documents.error());
  }
  ConfigFiles files;
  files.documents = std::move(*documents);
  files.has_base = true;
  return files;
}

ExitCode ConfigCommands::Submit(const ConfigFiles& files,
                                const std::string& submitter) {
  const auto head = LoadHead();
  if (!head) {
    return Fail(io_, head.error(), kStoreAdvice);
  }
  const Result<ConfigDocuments> before = LoadDocumentsOf(*head);
  if (!before) {
    return Fail(io_, before.error(), kStoreAdvice);
  }
  ConfigDocuments after = *before;
  if (files.has_base) {
    after.base = files.documents.base;
  }
  for (const auto& [site, text] : files.documents.overlays) {
    after.overlays[site] = text;
  }
  const ConfigErrors errors = ValidateDocuments(after, files.names);
  if (!errors.empty()) {
    WriteConfigErrors(errors, io_);
    return ExitCode::kFailure;
  }
  if (*head && after == *before) {
    io_.err << "Nothing to submit: generation " << GenerationText(*head)
            << " has the same documents.\n";
    return ExitCode::kOk;
  }
  const auto digest = Await<std::string>(
      loop_, wait_limit_,
      [&](auto callback) { store_.Submit(after, *head, submitter, callback); });
  if (!digest) {
    return Fail(io_, digest.error(),
                "repeat the command; submitting twice is harmless.");
  }
  return ReportSubmitted(*digest, DiffDocuments(*before, after), *head);
}

ExitCode ConfigCommands::ReportSubmitted(
    const std::string& digest,
    const std::string& diff,
    const std::optional<StoredHead>& head) {
  if (io_.is_json) {
    WriteJson(
        {{"proposal", digest},
         {"based_on_generation", head ? head->head.generation.value() : 0},
         {"diff", diff}},
        io_.out);
    return ExitCode::kOk;
  }
  io_.out << diff << "Proposal " << digest << "\nbased on generation "
          << GenerationText(head) << " is stored. It is not in force.\n"
          << "Next: kingcupdrift config approve " << digest << '\n';
  return ExitCode::kOk;
}

ExitCode ConfigCommands::Approve(const std::string& proposal,
                                 const std::string& approver) {
  const auto approval = Await<Approval>(loop_, wait_limit_, [&](auto callback) {
    store_.Approve(proposal, approver, callback);
  });
  if (approval) {
    return ReportApproved(*approval);
  }
  const Error& error = approval.error();
  switch (error.code) {
    case ErrorCode::kConflict:
      return ReportConflict(proposal);
    case ErrorCode::kNotFound:
      return Fail(io_, error,
                  "check the digest; 'kingcupdrift config submit' prints it.");
    case ErrorCode::kInvalidArgument:
      return Fail(io_, error, "correct the documents and submit them again.");
    case ErrorCode::kUnknownEffect:
    case ErrorCode::kDeadlineExceeded:
      return Fail(io_,
                  {ErrorCode::kUnknownEffect,
                   "the approval may have taken effect: " + error.detail},
                  fmt::format("repeat 'kingcupdrift config approve {}'; it "
                              "reports whether the approval took effect, and "
                              "never applies it twice.",
                              proposal));
    default:
      return Fail(io_, error, kStoreAdvice);
  }
}

ExitCode ConfigCommands::ReportApproved(const Approval& approval) {
  const ConfigHead& head = approval.head.head;
  if (io_.is_json) {
    WriteJson({{"generation", head.generation.value()},
               {"digest", approval.head.digest},
               {"approver", head.approver},
               {"already_approved", approval.was_already_approved}},
              io_.out);
    return ExitCode::kOk;
  }
  io_.out << (approval.was_already_approved ? "Already approved by "
                                            : "Approved by ")
          << head.approver << " as generation " << head.generation.value()
          << ", digest " << approval.head.digest << "\n"
          << "Next: kingcupdrift config audit\n";
  return ExitCode::kOk;
}

ExitCode ConfigCommands::ReportConflict(const std::string& proposal_digest) {
  const Error conflict{ErrorCode::kConflict,
                       "another operator changed the configuration first"};
  const auto proposal = Await<ConfigProposal>(
      loop_, wait_limit_,
      [&](auto callback) { store_.LoadProposal(proposal_digest, callback); });
  const auto head = LoadHead();
  if (!proposal || !head || !*head) {
    return Fail(io_, conflict, "submit the documents again.");
  }
  const auto now = LoadDocumentsOf(*head);
  const auto mine = LoadDocuments(proposal->documents);
  const auto basis = LoadBasis(*proposal);
  if (!now || !mine || !basis) {
    return Fail(io_, conflict, "submit the documents again.");
  }
  const std::string theirs = DiffDocuments(*basis, *now);
  const std::string own = DiffDocuments(*basis, *mine);
  if (io_.is_json) {
    WriteJson({{"conflict", true},
               {"proposal", proposal_digest},
               {"based_on_generation", proposal->based_on_generation.value()},
               {"generation", (*head)->head.generation.value()},
               {"approver", (*head)->head.approver},
               {"changed_since", theirs},
               {"proposed", own}},
              io_.out);
    return ExitCode::kConflict;
  }
  io_.out << "Changed since generation "
          << proposal->based_on_generation.value() << ", last by "
          << (*head)->head.approver << ":\n"
          << theirs << "Your proposal, which stays stored:\n"
          << own;
  return Fail(io_, conflict,
              "put your change on top of the new documents ('kingcupdrift "
              "config show'), submit the files you changed, approve.");
}

Result<ConfigDocuments> ConfigCommands::LoadBasis(
    const ConfigProposal& proposal) {
  if (proposal.based_on.empty()) {
    return ConfigDocuments();
  }
  const auto head = LoadHead();
  if (!head || !*head) {
    return MakeError(ErrorCode::kNotFound,
                     "there is no approved configuration");
  }
  const auto distance = (*head)->head.generation - proposal.based_on_generation;
  const auto records =
      LoadHistory(static_cast<std::size_t>(distance.value()) + 1);
  if (!records || records->empty()) {
    return MakeError(ErrorCode::kNotFound,
                     "the record that the proposal is based on was not found");
  }
  return LoadDocuments(records->front().documents);
}

Result<std::vector<ConfigHead>> ConfigCommands::LoadHistory(std::size_t limit) {
  return Await<std::vector<ConfigHead>>(loop_, wait_limit_, [&](auto callback) {
    store_.History(limit, callback);
  });
}

ExitCode ConfigCommands::History(std::size_t limit) {
  const auto records = LoadHistory(limit);
  if (!records) {
    return Fail(io_, records.error(), kStoreAdvice);
  }
  const Result<void> verified = VerifyHeadChain(*records);
  Json list = Json::array();
  std::vector<std::vector<std::string>> rows = {
      {"GENERATION", "APPROVED AT", "APPROVER", "DIGEST", "PREVIOUS"}};
  for (const ConfigHead& it : *records) {
    const std::string digest = HeadDigest(it);
    list.push_back({{"generation", it.generation.value()},
                    {"approved_at", FormatTime(it.approved_at)},
                    {"approver", it.approver},
                    {"digest", digest},
                    {"previous", it.previous},
                    {"proposal", it.proposal}});
    rows.push_back({std::to_string(it.generation.value()),
                    FormatTime(it.approved_at), it.approver,
                    ShortDigest(digest), ShortDigest(it.previous)});
  }
  if (io_.is_json) {
    WriteJson({{"verified", verified.has_value()}, {"records", list}}, io_.out);
  } else {
    WriteTable(rows, io_.out);
  }
  if (!verified) {
    return Fail(io_, verified.error(),
                "treat the store as tampered with: compare the record named "
                "above with your own copies.");
  }
  if (!io_.is_json) {
    io_.out << "Verified: each of the " << records->size()
            << " records names the digest of the one before it.\n";
  }
  return ExitCode::kOk;
}

}  // namespace kingcupdrift::internal
