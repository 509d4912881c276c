#ifndef KINGCUPDRIFT_CLI_INTERNAL_ONLINE_SESSION_H_
#define KINGCUPDRIFT_CLI_INTERNAL_ONLINE_SESSION_H_

#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_loop.h"
#include "kingcupdrift/net/net.h"

namespace kingcupdrift::internal {

/// The event loop and the clients that one command uses. The constructor reads
/// the process-wide flags.
class OnlineSession {
 public:
  OnlineSession();
  ~OnlineSession();

  PlatformStore& store() { return *store_; }
  AdminClient& admin() { return *admin_; }
  CommandLoop& loop() { return *command_loop_; }
  Clock& clock() { return clock_; }
  Random& random() { return random_; }
  Duration time_limit() const { return time_limit_; }

  /// Returns the addresses to query: those of --entries or, without it, the
  /// "callers" addresses of --instance_list, which serve operators too. Errors:
  /// those of the list; kNotFound if an instance has no such address.
  Result<std::vector<Endpoint>> ListInstances();

 private:
  EventLoop loop_;
  LoopClock clock_;
  SeededRandom random_;
  Duration time_limit_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<PlatformStore> store_;
  std::unique_ptr<AdminClient> admin_;
  std::unique_ptr<CommandLoop> command_loop_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_ONLINE_SESSION_H_
