#ifndef TESTS_CLI_CLI_HARNESS_H_
#define TESTS_CLI_CLI_HARNESS_H_

#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/command_loop.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/manual_clock.h"

namespace kingcupdrift {

/// Advances the manual clock while a command waits.
class ManualLoop : public internal::CommandLoop {
 public:
  explicit ManualLoop(fakes::ManualClock& clock) : clock_(clock) {}

  bool RunUntil(const std::function<bool()>& is_done, Duration limit) override {
    return clock_.AdvanceUntil(is_done, limit);
  }

 private:
  fakes::ManualClock& clock_;
};

/// Answers with the body set for an instance in `bodies`; other instances never
/// answer.
class FakeAdminClient : public internal::AdminClient {
 public:
  void Get(const Endpoint& instance,
           const std::string& target,
           Callback callback) override {
    targets.push_back(target);
    const auto it = bodies.find(instance);
    if (it != bodies.end()) {
      callback(it->second);
    }
  }

  std::map<Endpoint, Result<std::string>> bodies;
  std::vector<std::string> targets;
};

/// A fake store, a manual clock and the captured output of commands.
struct CommandFixture {
  fakes::ManualClock clock;
  fakes::StoreModel model{clock};
  SeededRandom random{7};
  fakes::FakeStore store{fakes::FakeStoreOptions(), model, clock};
  ManualLoop loop{clock};
  std::ostringstream out;
  std::ostringstream err;
  internal::CommandIo io{out, err, false};

  std::string TakeOut() {
    std::string text = out.str();
    out.str("");
    return text;
  }
  std::string TakeErr() {
    std::string text = err.str();
    err.str("");
    return text;
  }
};

}  // namespace kingcupdrift

#endif  // TESTS_CLI_CLI_HARNESS_H_
