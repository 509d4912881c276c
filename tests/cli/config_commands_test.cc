#include "kingcupdrift/cli/internal/config_commands.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/audit_command.h"
#include "kingcupdrift/cli/internal/line_diff.h"
#include "kingcupdrift/cli/internal/timeline_command.h"
#include "tests/cli/cli_harness.h"

namespace kingcupdrift::internal {
namespace {

constexpr Duration kLimit = std::chrono::seconds(15);
const SiteId kSite("andina");

/// Files of one site with a service of this priority.
ConfigFiles Files(int priority) {
  ConfigFiles files;
  files.has_base = true;
  files.documents.base = fmt::format(
      "[sites.andina]\nfailure_domains = [\"bogota-a\"]\n"
      "[services.chat]\nkind = \"model\"\nmodel = \"m\"\npriority = {}\n",
      priority);
  files.documents.overlays[kSite] = "[services.chat]\nmax_queued = 5\n";
  return files;
}

struct OperatorFixture : CommandFixture {
  ConfigCommands commands{store, clock, random, loop, kLimit, io};

  /// Submits and returns the digest that was printed.
  std::string Submit(const ConfigFiles& files) {
    REQUIRE(commands.Submit(files, "beto") == ExitCode::kOk);
    const std::string text = TakeOut();
    const std::size_t at = text.find("Proposal ");
    REQUIRE(at != std::string::npos);
    return text.substr(at + 9, 64);
  }
};

TEST_CASE("A change is submitted, approved and shown in the history [cli]") {
  OperatorFixture bench;
  const std::string first = bench.Submit(Files(1));
  CHECK(bench.commands.Approve(first, "ana") == ExitCode::kOk);
  CHECK(bench.TakeOut().starts_with("Approved by ana as generation 1"));
  CHECK(bench.commands.Approve(first, "carla") == ExitCode::kOk);
  CHECK(bench.TakeOut().starts_with("Already approved by ana"));
  CHECK(bench.commands.Submit(Files(1), "beto") == ExitCode::kOk);
  CHECK(bench.TakeErr().starts_with("Nothing to submit"));

  ConfigFiles overlay_only;
  overlay_only.documents.overlays[kSite] = "[services.chat]\nmax_queued = 6\n";
  const std::string second = bench.Submit(overlay_only);
  CHECK(bench.commands.Approve(second, "ana") == ExitCode::kOk);
  const auto approved = bench.commands.LoadApproved();
  REQUIRE(approved);
  CHECK(approved->documents.base == Files(1).documents.base);
  bench.TakeOut();
  CHECK(bench.commands.History(10) == ExitCode::kOk);
  CHECK(bench.TakeOut().find("these 2 records holds") != std::string::npos);
}

TEST_CASE("The operator who loses a race sees what changed [cli]") {
  OperatorFixture bench;
  bench.commands.Approve(bench.Submit(Files(1)), "ana");
  const std::string mine = bench.Submit(Files(2));
  ConfigFiles other;
  other.documents.overlays[kSite] = "[services.chat]\nmax_queued = 9\n";
  bench.commands.Approve(bench.Submit(other), "carla");
  bench.TakeOut();
  CHECK(bench.commands.Approve(mine, "ana") == ExitCode::kConflict);
  const std::string out = bench.TakeOut();
  CAPTURE(out);
  CHECK(out.find("last by carla") != std::string::npos);
  CHECK(out.find("-max_queued = 5\n+max_queued = 9") != std::string::npos);
  CHECK(out.find("-priority = 1\n+priority = 2") != std::string::npos);
  CHECK(bench.TakeErr().find("Next: ") != std::string::npos);
  // Submitted again, both changes are in force.
  ConfigFiles again = Files(2);
  again.documents.overlays.clear();
  CHECK(bench.commands.Approve(bench.Submit(again), "ana") == ExitCode::kOk);
  const auto merged = bench.commands.LoadApproved();
  CHECK(merged->documents.overlays.at(kSite) ==
        other.documents.overlays.at(kSite));
  CHECK(merged->documents.base == Files(2).documents.base);
}

TEST_CASE("Faults, outages and lost replies have exit codes [cli]") {
  OperatorFixture bench;
  ConfigFiles faulty = Files(1);
  faulty.names.base = "mine.toml";
  faulty.documents.base += "priority_ = 3\n";
  CHECK(bench.commands.Submit(faulty, "beto") == ExitCode::kFailure);
  CHECK(bench.TakeErr().starts_with("mine.toml:7: services.chat.priority_: "));
  const std::string proposal = bench.Submit(Files(1));
  CHECK(bench.commands.Approve(std::string(64, 'a'), "ana") ==
        ExitCode::kFailure);
  bench.model.SetFault({.is_down = true});
  CHECK(bench.commands.Submit(Files(1), "beto") == ExitCode::kUnreachable);
  CHECK(bench.commands.History(10) == ExitCode::kUnreachable);
  bench.model.SetFault({});
  bench.model.LoseReplies(1);
  CHECK(bench.commands.Approve(proposal, "ana") == ExitCode::kOk);
}

TEST_CASE("A record that was altered is found by the history [cli]") {
  OperatorFixture bench;
  for (int i = 1; i <= 3; ++i) {
    bench.commands.Approve(bench.Submit(Files(i)), "ana");
  }
  const std::string key = kConfigHeadRecordPrefix + std::string("2");
  const StoreValue stored = bench.model.Get(key).value();
  std::string altered = stored.value;
  altered.replace(altered.find("\"ana\""), 5, "\"eva\"");
  REQUIRE(bench.model.CompareAndSwap(key, stored.version, altered, LeaseId(0)));
  CHECK(bench.commands.History(10) == ExitCode::kFailure);
  CHECK(bench.TakeErr().find("generation 3 does not follow generation 2") !=
        std::string::npos);
}

std::string StatusBody(int generation, const std::string& digest) {
  return fmt::format(
      "{{\"instance\":\"e\",\"site\":\"andina\",\"generation\":"
      "{},\"head_digest\":\"{}\",\"in_force_since_us\":5}}",
      generation, digest);
}

TEST_CASE("An audit names who differs and who is silent [cli]") {
  CommandFixture bench;
  FakeAdminClient admin;
  AuditCommand audit(admin, bench.loop, kLimit, bench.io);
  StoredHead head;
  head.head.generation = Generation(3);
  head.digest = std::string(64, 'd');
  const Endpoint a{"10.0.0.1", 1};
  const Endpoint b{"10.0.0.2", 1};
  admin.bodies.emplace(a, StatusBody(3, head.digest));
  CHECK(audit.Run({a}, head) == ExitCode::kOk);
  CHECK(bench.TakeErr().empty());
  CHECK(audit.Run({}, head) == ExitCode::kFailure);

  SUBCASE("another generation") {
    admin.bodies.emplace(b, StatusBody(2, head.digest));
    CHECK(audit.Run({a, b}, head) == ExitCode::kFailure);
    CHECK(bench.out.str().find("DIFFERS") != std::string::npos);
  }
  SUBCASE("another digest") {
    admin.bodies.emplace(b, StatusBody(3, std::string(64, 'e')));
    CHECK(audit.Run({a, b}, head) == ExitCode::kFailure);
  }
  SUBCASE("no answer") {
    CHECK(audit.Run({a, b}, head) == ExitCode::kUnreachable);
    CHECK(bench.out.str().find("10.0.0.2:1") != std::string::npos);
    CHECK(bench.out.str().find("NO ANSWER") != std::string::npos);
  }
  SUBCASE("an answer that is not a status") {
    admin.bodies.emplace(b, std::string("<html>"));
    CHECK(audit.Run({a, b}, head) == ExitCode::kUnreachable);
  }
  CHECK(bench.err.str().find("Next: ") != std::string::npos);
}

TEST_CASE("Events of all instances are put in hybrid order [cli]") {
  CommandFixture bench;
  FakeAdminClient admin;
  TimelineCommand timeline(admin, bench.loop, kLimit, bench.io);
  const Endpoint a{"10.0.0.1", 1};
  const Endpoint b{"10.0.0.2", 1};
  admin.bodies.emplace(
      a, std::string("{\"wall_us\":5,\"logical\":0,\"instance\":\"a\",\"kind\":"
                     "\"request_arrived\",\"request\":\"r1\"}\nnot an event\n"
                     "{\"wall_us\":5,\"logical\":2,\"instance\":\"a\",\"kind\":"
                     "\"request_completed\",\"request\":\"r1\"}\n"));
  admin.bodies.emplace(
      b, std::string("{\"wall_us\":5,\"logical\":1,\"instance\":\"b\","
                     "\"kind\":\"first_token\",\"request\":\"r1\"}\n"));
  CHECK(timeline.Run({a, b}, {"r 1", "w&x"}, "") == ExitCode::kOk);
  CHECK(admin.targets.front() ==
        "/admin/timeline?request=r%201&workspace=w%26x");
  const std::string out = bench.TakeOut();
  CHECK(out.find("00:00:00.000005  a ") != std::string::npos);
  const std::size_t arrived = out.find("request_arrived");
  const std::size_t first = out.find("first_token");
  const std::size_t completed = out.find("request_completed");
  CHECK(arrived < first);
  CHECK(first < completed);
  CHECK(completed != std::string::npos);

  std::vector<CollectedEvent> events = ParseEvents(*admin.bodies.at(a));
  const Json trace = TraceJson(events);
  std::string phases;
  for (const Json& it : trace["traceEvents"]) {
    phases += it["ph"].get<std::string>();
  }
  CHECK(phases == "Mibie");
  CHECK(timeline.Run({a, {"10.0.0.3", 1}}, {}, "") == ExitCode::kUnreachable);
  CHECK(timeline.Run({a, b}, {}, "/nowhere/trace.json") == ExitCode::kFailure);
}

/// Applies a diff's removed and added lines to count what they leave.
TEST_CASE("A diff holds exactly what changed [cli]") {
  CHECK(DiffLines("a\nb\nc\n", "a\nb\nc\n").empty());
  CHECK(DiffLines("a\nb\nc\n", "a\nx\nc\n") == "@@ 2\n-b\n+x\n");
  CHECK(DiffLines("", "a\n") == "@@ 1\n+a\n");
  const bool holds =
      rc::check([](const std::vector<bool>& a, const std::vector<bool>& b) {
        const auto join = [](const std::vector<bool>& lines) {
          std::string out;
          for (const bool it : lines) {
            out += it ? "one\n" : "two\n";
          }
          return out;
        };
        const std::string diff = DiffLines(join(a), join(b));
        std::ptrdiff_t change = 0;
        std::istringstream in(diff);
        for (std::string line; std::getline(in, line);) {
          change += line[0] == '+' ? 1 : line[0] == '-' ? -1 : 0;
        }
        RC_ASSERT(diff.empty() == (a == b));
        RC_ASSERT(change == std::ssize(b) - std::ssize(a));
      });
  CHECK(holds);
}

}  // namespace
}  // namespace kingcupdrift::internal
