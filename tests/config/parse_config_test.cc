#include <doctest/doctest.h>
#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "kingcupdrift/config/config.h"
#include "kingcupdrift/config/internal/option_spec.h"

namespace kingcupdrift {
namespace {

const SiteId kSite("andina");
const std::string kDigestA(64, 'a');
const std::string kDigestB(64, 'b');

std::string ReadExample(const std::string& name) {
  std::ifstream in(std::string(KINGCUPDRIFT_SOURCE_DIR) + "/" + name);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string MinimalBase() {
  return fmt::format(R"(
[sites.andina]
failure_domains = ["bogota-a"]
[sites.great-lakes]
failure_domains = ["gl-a"]
[services.chat]
kind = "model"
model = "m"
[services.shop]
kind = "plain"
path_prefix = "/shop"
[workspaces.w]
token_digest = "{}"
[workspaces.far]
sites = ["great-lakes"]
token_digest = "{}"
)",
                     kDigestA, kDigestB);
}

/// Parses an overlay of the minimal base that must have exactly one fault, and
/// returns it.
ConfigError ParseSingleError(const std::string& overlay) {
  const auto parsed = ParseSiteConfig(MinimalBase(), overlay, kSite);
  REQUIRE(!parsed.has_value());
  for (const ConfigError& it : parsed.error()) {
    INFO(ToString(it));
  }
  REQUIRE(parsed.error().size() == 1);
  return parsed.error().front();
}

TEST_CASE("The example documents are valid at both sites [config]") {
  ConfigDocuments documents;
  documents.base = ReadExample("examples/base.toml");
  for (const std::string site : {"andina", "great-lakes"}) {
    documents.overlays[SiteId(site)] =
        ReadExample("examples/" + site + ".toml");
  }
  CHECK(ToError(ValidateDocuments(documents)).detail.empty());
  const auto andina =
      ParseSiteConfig(documents.base, documents.overlays[kSite], kSite);
  REQUIRE(andina);
  CHECK(andina->services.size() == 2);
  CHECK(andina->engines.size() == 27);
  CHECK(andina->workspaces.size() == 10);
  const ServiceConfig& service = andina->services.at(ServiceId("horno-modelo"));
  CHECK(service.max_time_limit == std::chrono::hours(1));
  CHECK(service.own_time_weight == 2.0);
  CHECK(andina->engines.at(EngineId("horno-modelo-01")).is_fencing_enforced);
}

TEST_CASE("An overlay replaces options of the base one by one [config]") {
  const auto parsed = ParseSiteConfig(MinimalBase(), R"(
[services.chat]
priority = 7
[workspaces.w]
services = ["chat"]
[workspaces.local]
token_digest = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"
[engines.e1]
service = "chat"
endpoint = "10.0.0.1:80"
failure_domain = "bogota-a"
)",
                                      kSite);
  REQUIRE(parsed);
  CHECK(parsed->services.at(ServiceId("chat")).priority == 7);
  CHECK(parsed->services.at(ServiceId("chat")).model == "m");
  CHECK(parsed->workspaces.at(WorkspaceId("w")).token_digest == kDigestA);
  CHECK(parsed->workspaces.at(WorkspaceId("w")).services.size() == 1);
  CHECK(parsed->workspaces.contains(WorkspaceId("local")));
  CHECK(!parsed->workspaces.contains(WorkspaceId("far")));
}

TEST_CASE("An overlay replaces an array as a whole [config]") {
  const std::string base = MinimalBase() + "[services.b]\nkind = \"plain\"\n" +
                           "path_prefix = \"/b\"\n" +
                           "non_idempotent_routes = [\"POST /b/1\"]\n";
  const auto parsed = ParseSiteConfig(
      base, "[services.b]\nnon_idempotent_routes = [\"PUT /b/2\"]\n", kSite);
  REQUIRE(parsed);
  CHECK(parsed->services.at(ServiceId("b")).non_idempotent_routes ==
        std::vector<std::string>{"PUT /b/2"});
}

TEST_CASE("A table with enabled = false is left out [config]") {
  const auto parsed = ParseSiteConfig(
      MinimalBase() +
          "[engines.e1]\nservice = \"chat\"\n"
          "endpoint = \"10.0.0.1:80\"\n"
          "failure_domain = \"bogota-a\"\n",
      "[services.chat]\nenabled = false\n[workspaces.w]\nenabled = false\n",
      kSite);
  REQUIRE(parsed);
  CHECK(!parsed->services.contains(ServiceId("chat")));
  CHECK(parsed->engines.empty());
  CHECK(parsed->workspaces.empty());
}

TEST_CASE("An error names file, line, key and allowed values [config]") {
  const ConfigError error =
      ParseSingleError("\n[services.chat]\npriority = 101\n");
  CHECK(error.error_kind == ConfigErrorKind::kOutOfRange);
  CHECK(ToString(error) ==
        "overlay:3: services.chat.priority: 101; allowed: a whole number from "
        "-100 to 100");
}

struct RefusalCase {
  std::string overlay;
  ConfigErrorKind error_kind;
  int line;
  std::string key;
};

TEST_CASE("Each faulty overlay is refused with the line and key [config]") {
  const std::string engine =
      "[engines.e]\nservice = \"chat\"\nendpoint = \"10.0.0.1:80\"\n"
      "failure_domain = \"bogota-a\"\n";
  const std::vector<RefusalCase> cases = {
      {"[services.chat\n", ConfigErrorKind::kSyntax, 1, ""},
      {"x = 1\n", ConfigErrorKind::kUnknownKey, 1, "x"},
      {"format = 2\n", ConfigErrorKind::kOutOfRange, 1, "format"},
      {"services = 3\n", ConfigErrorKind::kWrongType, 1, "services"},
      {"[services]\nchat = 3\n", ConfigErrorKind::kWrongType, 2,
       "services.chat"},
      {"[services.\"a b\"]\n", ConfigErrorKind::kOutOfRange, 1, "services.a b"},
      {"[services.chat]\nweight = 3\n", ConfigErrorKind::kUnknownKey, 2,
       "services.chat.weight"},
      {"[services.chat]\npriority = \"3\"\n", ConfigErrorKind::kWrongType, 2,
       "services.chat.priority"},
      {"[services.chat]\nown_time_weight = nan\n", ConfigErrorKind::kOutOfRange,
       2, "services.chat.own_time_weight"},
      {"[services.chat]\nmax_time_limit = \"30\"\n",
       ConfigErrorKind::kOutOfRange, 2, "services.chat.max_time_limit"},
      {"[services.chat]\nmax_time_limit = \"1s\"\n", ConfigErrorKind::kConflict,
       2, "services.chat.max_time_limit"},
      {"[services.chat]\nkind = \"plain\"\n", ConfigErrorKind::kNotAllowed, 2,
       "services.chat.kind"},
      {"[services.chat]\npath_prefix = \"/c\"\n", ConfigErrorKind::kNotAllowed,
       2, "services.chat.path_prefix"},
      {"[services.shop]\npath_prefix = \"/v1/x\"\n",
       ConfigErrorKind::kOutOfRange, 2, "services.shop.path_prefix"},
      {"[services.shop]\nmodel = \"m2\"\n", ConfigErrorKind::kNotAllowed, 2,
       "services.shop.model"},
      {"[services.shop]\nnon_idempotent_routes = [\"POST /elsewhere\"]\n",
       ConfigErrorKind::kConflict, 2, "services.shop.non_idempotent_routes"},
      {"[services.shop]\nnon_idempotent_routes = [\"/shop/x\"]\n",
       ConfigErrorKind::kOutOfRange, 2, "services.shop.non_idempotent_routes"},
      {"[services.z]\nkind = \"model\"\nmodel = \"m\"\n",
       ConfigErrorKind::kConflict, 3, "services.z.model"},
      {"[services.c2]\nkind = \"model\"\n", ConfigErrorKind::kMissing, 1,
       "services.c2.model"},
      {"[services.c2]\nmodel = \"x\"\n", ConfigErrorKind::kMissing, 1,
       "services.c2.kind"},
      {engine + "fencing = \"maybe\"\n", ConfigErrorKind::kOutOfRange, 5,
       "engines.e.fencing"},
      {"[engines.e]\nservice = \"none\"\nendpoint = \"10.0.0.1:80\"\n"
       "failure_domain = \"bogota-a\"\n",
       ConfigErrorKind::kUnknownReference, 2, "engines.e.service"},
      {"[engines.e]\nservice = \"chat\"\nendpoint = \"10.0.0.1:80\"\n"
       "failure_domain = \"gl-a\"\n",
       ConfigErrorKind::kUnknownReference, 4, "engines.e.failure_domain"},
      {"[engines.e]\nservice = \"chat\"\nendpoint = \"host:80\"\n"
       "failure_domain = \"bogota-a\"\n",
       ConfigErrorKind::kOutOfRange, 3, "engines.e.endpoint"},
      {"[workspaces.w]\nservices = [\"none\"]\n",
       ConfigErrorKind::kUnknownReference, 2, "workspaces.w.services"},
      {"[workspaces.w]\nweight = 0\n", ConfigErrorKind::kOutOfRange, 2,
       "workspaces.w.weight"},
      {"[workspaces.v]\n", ConfigErrorKind::kMissing, 1,
       "workspaces.v.token_digest"},
      {"[workspaces.w]\nsites = [\"andina\"]\n", ConfigErrorKind::kNotAllowed,
       2, "workspaces.w.sites"},
      {"[workspaces.far]\nweight = 2\n", ConfigErrorKind::kNotAllowed, 1,
       "workspaces.far"},
      {"[workspaces.v]\ntoken_digest = \"" + kDigestB + "\"\n",
       ConfigErrorKind::kNotAllowed, 2, "workspaces.v.token_digest"},
      {"[sites.andina]\nfailure_domains = [\"x\"]\n",
       ConfigErrorKind::kNotAllowed, 1, "sites.andina"},
  };
  for (const RefusalCase& it : cases) {
    CAPTURE(it.overlay);
    const auto parsed = ParseSiteConfig(MinimalBase(), it.overlay, kSite);
    REQUIRE(!parsed.has_value());
    const ConfigError& error = parsed.error().front();
    CAPTURE(ToString(error));
    CHECK(error.error_kind == it.error_kind);
    CHECK(error.line == it.line);
    CHECK(error.key == it.key);
    CHECK(!error.allowed.empty());
  }
}

TEST_CASE(
    "Overlays with a shared token or an unknown site are refused [config]") {
  const std::string token =
      std::string("token_digest = \"") + std::string(64, 'c') + "\"\n";
  ConfigDocuments documents;
  documents.base = MinimalBase();
  documents.overlays[kSite] = "[workspaces.x]\n" + token;
  documents.overlays[SiteId("great-lakes")] = "[workspaces.y]\n" + token;
  ConfigErrors errors = ValidateDocuments(documents);
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].error_kind == ConfigErrorKind::kNotAllowed);
  CHECK(errors[0].file == "great-lakes");

  documents.overlays.erase(SiteId("great-lakes"));
  documents.overlays[SiteId("nowhere")] = "";
  errors = ValidateDocuments(documents);
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].error_kind == ConfigErrorKind::kUnknownReference);
}

TEST_CASE("The option table's defaults equal the initializers [config]") {
  std::string explicit_overlay;
  for (const std::string_view table : {"services.chat", "workspaces.w"}) {
    explicit_overlay += fmt::format("[{}]\n", table);
    for (const internal::OptionSpec& it : internal::AllOptions()) {
      const bool is_here = table.starts_with(internal::SectionName(it.section));
      if (is_here && !it.default_text.empty() &&
          it.key != "non_idempotent_routes") {
        explicit_overlay += fmt::format("{} = {}\n", it.key, it.default_text);
      }
    }
  }
  const auto with = ParseSiteConfig(MinimalBase(), explicit_overlay, kSite);
  const auto without = ParseSiteConfig(MinimalBase(), "", kSite);
  REQUIRE(with);
  REQUIRE(without);
  const ServiceConfig& a = with->services.at(ServiceId("chat"));
  const ServiceConfig& b = without->services.at(ServiceId("chat"));
  CHECK(a.default_time_limit == b.default_time_limit);
  CHECK(a.max_time_limit == b.max_time_limit);
  CHECK(a.own_time_weight == b.own_time_weight);
  CHECK(a.inflicted_delay_weight == b.inflicted_delay_weight);
  CHECK(a.retry_ratio == b.retry_ratio);
  CHECK(a.max_queued == b.max_queued);
  CHECK(a.max_ejected_share == b.max_ejected_share);
  CHECK(a.is_hedging_enabled == b.is_hedging_enabled);
  CHECK(a.priority == b.priority);
  CHECK(a.default_output_tokens == b.default_output_tokens);
  CHECK(a.idempotency_window == b.idempotency_window);
  const WorkspaceConfig& c = with->workspaces.at(WorkspaceId("w"));
  const WorkspaceConfig& d = without->workspaces.at(WorkspaceId("w"));
  CHECK(c.weight == d.weight);
  CHECK(c.requests_per_second == d.requests_per_second);
  CHECK(c.tokens_per_second == d.tokens_per_second);
  CHECK(c.services == d.services);
}

TEST_CASE(
    "The documentation lists every option with default and unit [config]") {
  const std::string page = ReadExample("docs/CONFIGURATION.md");
  for (const internal::OptionSpec& it : internal::AllOptions()) {
    const std::string row =
        fmt::format("| `{}.*.{}` |", internal::SectionName(it.section), it.key);
    const std::size_t start = page.find(row);
    CAPTURE(row);
    REQUIRE(start != std::string::npos);
    const std::string line = page.substr(start, page.find('\n', start) - start);
    const std::string value =
        it.is_required ? "**required**" : std::string(it.default_text);
    CHECK(line.find(value) != std::string::npos);
    CHECK(line.find(it.unit == "duration" ? "duration" : it.unit) !=
          std::string::npos);
  }
}

TEST_CASE(
    "ExplainSiteConfig names the document and line of each value [config]") {
  const auto sources = ExplainSiteConfig(
      MinimalBase(), "[services.chat]\npriority = 7\n", kSite);
  REQUIRE(sources);
  std::map<std::string, ConfigValueSource> by_key;
  for (const ConfigValueSource& it : *sources) {
    by_key[it.key] = it;
  }
  CHECK(by_key["services.chat.priority"].file == "overlay");
  CHECK(by_key["services.chat.priority"].line == 2);
  CHECK(by_key["services.chat.model"].file == "base");
  CHECK(by_key["services.chat.model"].value == "\"m\"");
  CHECK(by_key["services.chat.hedging"].file == "default");
  CHECK(!by_key.contains("workspaces.far.weight"));
}

TEST_CASE("Durations are parsed with their unit and formatted [config]") {
  CHECK(*ParseDuration("500ms") == std::chrono::milliseconds(500));
  CHECK(*ParseDuration("24h") == std::chrono::hours(24));
  CHECK(FormatDuration(std::chrono::seconds(90)) == "90s");
  for (const std::string text :
       {"", "5", "s", "-1s", "1.5s", "1 s", "99999999999999d", "1S"}) {
    CAPTURE(text);
    CHECK(!ParseDuration(text));
  }
}

}  // namespace
}  // namespace kingcupdrift
