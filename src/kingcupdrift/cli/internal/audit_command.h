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

/// What an audit found at one instance.
enum class AuditVerdict { kInForce, kDiffers, kNoAnswer };

struct AuditRow {
  Endpoint endpoint;
  AuditVerdict verdict = AuditVerdict::kNoAnswer;
  std::string instance;
  std::string site;
  Generation generation;
  std::string digest;
  WallTime in_force_since{};
  /// Why there is no answer.
  std::string fault;
};

/// Reads the body of GET /admin/status. Errors: kProtocol.
Result<AuditRow> ParseStatus(const std::string& body);

/// `config audit`: asks every instance which configuration is in force, and
/// compares it with the approved head.
class AuditCommand {
 public:
  AuditCommand(AdminClient& admin,
               CommandLoop& loop,
               Duration time_limit,
               const CommandIo& io)
      : admin_(admin), loop_(loop), time_limit_(time_limit), io_(io) {}

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
