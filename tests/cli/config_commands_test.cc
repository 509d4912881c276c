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

/// Documents of one site with one service that has this priority.
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
  OperatorFixture fixture;
  const std::string first = fixture.Submit(Files(1));
  CHECK(fixture.commands.Approve(first, "ana") == ExitCode::kOk);
  CHECK(fixture.TakeOut().starts_with("Approved by ana as generation 1"));
  CHECK(fixture.commands.Approve(first, "carla") == ExitCode::kOk);
  CHECK(fixture.TakeOut().starts_with("Already approved by ana"));
  CHECK(fixture.commands.Submit(Files(1), "beto") == ExitCode::kOk);
  CHECK(fixture.TakeErr().starts_with("Nothing to submit"));

  ConfigFiles overlay_only;
  overlay_only.documents.overlays[kSite] = "[services.chat]\nmax_queued = 6\n";
  const std::string second = fixture.Submit(overlay_only);
  CHECK(fixture.commands.Approve(second, "ana") == ExitCode::kOk);
  const auto approved = fixture.commands.LoadApproved();
  REQUIRE(approved);
  CHECK(approved->documents.base == Files(1).documents.base);
  fixture.TakeOut();
  CHECK(fixture.commands.History(10) == ExitCode::kOk);
  CHECK(fixture.TakeOut().find(
            "each of the 2 records names the digest of the one before") !=
        std::string::npos);
}

TEST_CASE("A conflicting approval shows what changed since [cli]") {
  OperatorFixture fixture;
  fixture.commands.Approve(fixture.Submit(Files(1)), "ana");
  const std::string mine = fixture.Submit(Files(2));
  ConfigFiles other;
  other.documents.overlays[kSite] = "[services.chat]\nmax_queued = 9\n";
  fixture.commands.Approve(fixture.Submit(other), "carla");
  fixture.TakeOut();
  CHECK(fixture.commands.Approve(mine, "ana") == ExitCode::kConflict);
  const std::string out = fixture.TakeOut();
  CAPTURE(out);
  CHECK(out.find("last by carla") != std::string::npos);
  CHECK(out.find("-max_queued = 5\n+max_queued = 9") != std::string::npos);
  CHECK(out.find("-priority = 1\n+priority = 2") != std::string::npos);
  CHECK(fixture.TakeErr().find("Next: ") != std::string::npos);
  // Once the refused change is submitted again, both changes are in force.
  ConfigFiles again = Files(2);
  again.documents.overlays.clear();
  CHECK(fixture.commands.Approve(fixture.Submit(again), "ana") ==
        ExitCode::kOk);
  const auto merged = fixture.commands.LoadApproved();
  CHECK(merged->documents.overlays.at(kSite) ==
        other.documents.overlays.at(kSite));
  CHECK(merged->documents.base == Files(2).documents.base);
}

TEST_CASE("Invalid documents, outages and lost replies set exit codes [cli]") {
  OperatorFixture fixture;
  ConfigFiles faulty = Files(1);
  faulty.names.base = "mine.toml";
  faulty.documents.base += "priority_ = 3\n";
  CHECK(fixture.commands.Submit(faulty, "beto") == ExitCode::kFailure);
  CHECK(
      fixture.TakeErr().starts_with("mine.toml:7: services.chat.priority_: "));
  const std::string proposal = fixture.Submit(Files(1));
  CHECK(fixture.commands.Approve(std::string(64, 'a'), "ana") ==
        ExitCode::kFailure);
  fixture.model.SetFault({.is_down = true});
  CHECK(fixture.commands.Submit(Files(1), "beto") == ExitCode::kUnreachable);
  CHECK(fixture.commands.History(10) == ExitCode::kUnreachable);
  fixture.model.SetFault({});
  fixture.model.LoseReplies(1);
  CHECK(fixture.commands.Approve(proposal, "ana") == ExitCode::kOk);
}

TEST_CASE("The history detects an altered record [cli]") {
  OperatorFixture fixture;
  for (int i = 1; i <= 3; ++i) {
    fixture.commands.Approve(fixture.Submit(Files(i)), "ana");
  }
  const std::string key = kConfigHeadRecordPrefix + std::string("2");
  const StoreValue stored = fixture.model.Get(key).value();
  std::string altered = stored.value;
  altered.replace(altered.find("\"ana\""), 5, "\"eva\"");
  REQUIRE(
      fixture.model.CompareAndSwap(key, stored.version, altered, LeaseId(0)));
  CHECK(fixture.commands.History(10) == ExitCode::kFailure);
  CHECK(fixture.TakeErr().find("generation 3 does not follow generation 2") !=
        std::string::npos);
}

std::string StatusBody(int generation, const std::string& digest) {
  return fmt::format(
      "{{\"instance\":\"e\",\"site\":\"andina\",\"generation\":"
      "{},\"head_digest\":\"{}\",\"in_force_since_us\":5}}",
      generation, digest);
}

TEST_CASE("An audit names instances that differ or do not answer [cli]") {
  CommandFixture fixture;
  FakeAdminClient admin;
  AuditCommand audit(admin, fixture.loop, kLimit, fixture.io);
  StoredHead head;
  head.head.generation = Generation(3);
  head.digest = std::string(64, 'd');
  const Endpoint a{"10.0.0.1", 1};
  const Endpoint b{"10.0.0.2", 1};
  admin.bodies.emplace(a, StatusBody(3, head.digest));
  CHECK(audit.Run({a}, head) == ExitCode::kOk);
  CHECK(fixture.TakeErr().empty());
  CHECK(audit.Run({}, head) == ExitCode::kFailure);

  SUBCASE("an instance has another generation") {
    admin.bodies.emplace(b, StatusBody(2, head.digest));
    CHECK(audit.Run({a, b}, head) == ExitCode::kFailure);
    CHECK(fixture.out.str().find("DIFFERS") != std::string::npos);
  }
  SUBCASE("an instance has another digest") {
    admin.bodies.emplace(b, StatusBody(3, std::string(64, 'e')));
    CHECK(audit.Run({a, b}, head) == ExitCode::kFailure);
  }
  SUBCASE("an instance does not answer") {
    CHECK(audit.Run({a, b}, head) == ExitCode::kUnreachable);
    CHECK(fixture.out.str().find("10.0.0.2:1") != std::string::npos);
    CHECK(fixture.out.str().find("NO ANSWER") != std::string::npos);
  }
  SUBCASE("an instance answers with a body that is not a status") {
    admin.bodies.emplace(b, std::string("<html>"));
    CHECK(audit.Run({a, b}, head) == ExitCode::kUnreachable);
  }
  CHECK(fixture.err.str().find("Next: ") != std::string::npos);
}

TEST_CASE("Events of all instances are sorted by hybrid time [cli]") {
  CommandFixture fixture;
  FakeAdminClient admin;
  TimelineCommand timeline(admin, fixture.loop, kLimit, fixture.io);
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
  const std::string out = fixture.TakeOut();
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

/// For random texts: a diff is empty only for equal texts, and its added minus
/// removed lines equal the difference in line count.
TEST_CASE("A diff shows exactly the changed lines [cli]") {
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
