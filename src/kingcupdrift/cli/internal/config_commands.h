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
  /// `time_limit` bounds each call to the store.
  ConfigCommands(PlatformStore& platform,
                 Clock& clock,
                 Random& random,
                 CommandLoop& loop,
                 Duration time_limit,
                 const CommandIo& io);

  /// Documents that the files do not name are those of the head.
  ExitCode Submit(const ConfigFiles& files, const std::string& submitter);
  ExitCode Approve(const std::string& proposal, const std::string& approver);
  ExitCode History(std::size_t limit);
  /// The approved documents of the head, for `config show`.
  Result<ConfigFiles> LoadApproved();
  Result<std::optional<StoredHead>> LoadHead();

 private:
  Result<ConfigDocuments> LoadDocuments(const DocumentDigests& digests);
  Result<ConfigDocuments> LoadDocumentsOf(const std::optional<StoredHead>& it);
  ExitCode ReportSubmitted(const std::string& digest,
                           const std::string& diff,
                           const std::optional<StoredHead>& head);
  ExitCode ReportApproved(const Approval& approval);
  ExitCode ReportConflict(const std::string& proposal_digest);
  /// The documents of the head that a proposal was written against.
  Result<ConfigDocuments> LoadBasis(const ConfigProposal& proposal);
  Result<std::vector<ConfigHead>> LoadHistory(std::size_t limit);

  CommandLoop& loop_;
  Duration wait_limit_;
  const CommandIo& io_;
  ConfigStore store_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_CONFIG_COMMANDS_H_
