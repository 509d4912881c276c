#ifndef KINGCUPDRIFT_CLI_INTERNAL_CONFIG_COMMANDS_H_
#define KINGCUPDRIFT_CLI_INTERNAL_CONFIG_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/command_loop.h"
#include "kingcupdrift/cli/internal/config_files.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// The commands that read and change the approved configuration.
class ConfigCommands {
 public:
  /// `time_limit` limits each call to the store; a command waits 5 s longer for
  /// the callback.
  ConfigCommands(PlatformStore& platform,
                 Clock& clock,
                 Random& random,
                 CommandLoop& loop,
                 Duration time_limit,
                 const CommandIo& io);

  /// Stores a proposal, if the documents are valid and differ from the approved
  /// ones. Documents that `files` does not contain stay as in the head, the
  /// newest approved configuration.
  ExitCode Submit(const ConfigFiles& files, const std::string& submitter);
  /// `proposal` is the digest that `Submit` printed.
  ExitCode Approve(const std::string& proposal, const std::string& approver);
  /// Lists the `limit` newest approved records and verifies that each names the
  /// digest of the one before it.
  ExitCode History(std::size_t limit);
  /// Loads the documents of the head, for `config show`. Errors: kNotFound if
  /// nothing has been approved.
  Result<ConfigFiles> LoadApproved();
  /// Loads the newest approved configuration; absent if there is none.
  Result<std::optional<StoredHead>> LoadHead();

 private:
  Result<ConfigDocuments> LoadDocuments(const DocumentDigests& digests);
  Result<ConfigDocuments> LoadDocumentsOf(const std::optional<StoredHead>& it);
  ExitCode ReportSubmitted(const std::string& digest,
                           const std::string& diff,
                           const std::optional<StoredHead>& head);
  ExitCode ReportApproved(const Approval& approval);
  ExitCode ReportConflict(const std::string& proposal_digest);
  /// Loads the documents of the head that a proposal is based on.
  Result<ConfigDocuments> LoadBasis(const ConfigProposal& proposal);
  Result<std::vector<ConfigHead>> LoadHistory(std::size_t limit);

  CommandLoop& loop_;
  Duration wait_limit_;
  const CommandIo& io_;
  ConfigStore store_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_CONFIG_COMMANDS_H_
