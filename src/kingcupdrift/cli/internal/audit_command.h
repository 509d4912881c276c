#ifndef KINGCUPDRIFT_CLI_INTERNAL_AUDIT_COMMAND_H_
#define KINGCUPDRIFT_CLI_INTERNAL_AUDIT_COMMAND_H_

#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/command_loop.h"
#include "kingcupdrift/config/config.h"

namespace kingcupdrift::internal {

/// Result of an audit for one instance. kInForce: its generation and head
/// digest equal those of the head, the newest approved configuration.
/// kNoAnswer: it gave no usable answer; any error or a status other than 200
/// counts.
enum class AuditVerdict { kInForce, kDiffers, kNoAnswer };

struct AuditRow {
  Endpoint endpoint;
  AuditVerdict verdict = AuditVerdict::kNoAnswer;
  std::string instance;
  std::string site;
  Generation generation;
  /// Digest of the head record that the instance uses.
  std::string digest;
  WallTime in_force_since{};
  /// Error text if the verdict is kNoAnswer.
  std::string fault;
};

/// Parses the body of GET /admin/status. The caller sets the row's `endpoint`
/// and `verdict`. Errors: kProtocol.
Result<AuditRow> ParseStatus(const std::string& body);

/// `config audit`: asks every instance which configuration it uses, and
/// compares that with the approved head.
class AuditCommand {
 public:
  AuditCommand(AdminClient& admin,
               CommandLoop& loop,
               Duration time_limit,
               const CommandIo& io)
      : admin_(admin), loop_(loop), time_limit_(time_limit), io_(io) {}

  /// Prints a report. Returns kOk if all instances match, kFailure if one
  /// differs or `instances` is empty, else kUnreachable.
  ExitCode Run(const std::vector<Endpoint>& instances, const StoredHead& head);

 private:
  std::vector<AuditRow> QueryInstances(const std::vector<Endpoint>& instances,
                                       const StoredHead& head);
  void Report(const std::vector<AuditRow>& rows, const StoredHead& head);

  AdminClient& admin_;
  CommandLoop& loop_;
  Duration time_limit_;
  const CommandIo& io_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_AUDIT_COMMAND_H_
