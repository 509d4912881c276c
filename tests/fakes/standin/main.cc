#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "kingcupdrift/net/net.h"
#include "tests/fakes/standin/engine_standin.h"
#include "tests/fakes/standin/list_standin.h"
#include "tests/fakes/standin/service_standin.h"
#include "tests/fakes/standin/store_standin.h"

ABSL_FLAG(
    std::uint16_t,
    port,
    0,
    "Port on which the stand-in serves its protocol; 0 picks a free one.");
ABSL_FLAG(std::uint16_t,
          control_port,
          0,
          "Port of the control listener; 0 picks a free one.");
ABSL_FLAG(std::int64_t, lag_ms, 2000, "list: time until a change is visible.");
ABSL_FLAG(std::int64_t, run_time_ms, 5, "service: duration of a call.");
ABSL_FLAG(std::string, engine_id, "engine", "engine: its identifier.");
ABSL_FLAG(std::int64_t, memory, 400'000, "engine: memory in tokens.");
ABSL_FLAG(std::int64_t, cache, 400'000, "engine: prefix cache in tokens.");
ABSL_FLAG(double, prefill_rate, 20'000, "engine: prefill tokens a second.");
ABSL_FLAG(std::int64_t, decode_step_ms, 20, "engine: time between tokens.");
ABSL_FLAG(std::int64_t,
          report_lag_ms,
          500,
          "engine: minimum age of load reports.");
ABSL_FLAG(bool,
          fencing,
          false,
          "engine: refuse orders with a lower fencing number.");

namespace kingcupdrift::fakes {
namespace {

EngineModelOptions EngineOptions() {
  EngineModelOptions options;
  options.id = EngineId(absl::GetFlag(FLAGS_engine_id));
  options.memory = TokenCount(absl::GetFlag(FLAGS_memory));
  options.cache = TokenCount(absl::GetFlag(FLAGS_cache));
  options.prefill_rate = absl::GetFlag(FLAGS_prefill_rate);
  options.decode_step =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_decode_step_ms));
  options.report_lag =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
  options.is_fencing_enforced = absl::GetFlag(FLAGS_fencing);
  return options;
}

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

/// Serves until the process is terminated.
template <typename Standin, typename... Args>
int Serve(Args... args) {
  EventLoop loop;
  LoopClock clock(loop);
  Standin standin(loop, clock, args...);
  const Result<void> listening = standin.Listen(
      absl::GetFlag(FLAGS_port), absl::GetFlag(FLAGS_control_port));
  if (!listening) {
    fmt::print(stderr, "{}\n", listening.error().detail);
    return kExitCannotListen;
  }
  loop.Run();
  return 0;
}

int RunStandin(std::string_view kind) {
  if (kind == "store") {
    return Serve<StoreStandin>();
  }
  if (kind == "list") {
    return Serve<ListStandin>(
        Duration(std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms))));
  }
  if (kind == "engine") {
    return Serve<EngineStandin>(EngineOptions());
  }
  if (kind == "service") {
    return Serve<ServiceStandin>(
        Duration(std::chrono::milliseconds(absl::GetFlag(FLAGS_run_time_ms))));
  }
  fmt::print(stderr,
             "standin: unknown kind \"{}\"; usage: standin "
             "store|list|engine|service\n",
             kind);
  return kExitUsage;
}

}  // namespace
}  // namespace kingcupdrift::fakes

int main(int argc, char** argv) {
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  return kingcupdrift::fakes::RunStandin(rest.size() > 1 ? rest[1] : "");
}
