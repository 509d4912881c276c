#include "kingcupdrift/entry/internal/caller_lookup.h"

#include <doctest/doctest.h>

namespace kingcupdrift {
namespace {

SiteConfig MakeConfig() {
  SiteConfig config;
  ServiceConfig beds;
  beds.id = ServiceId("beds-api");
  beds.kind = ServiceKind::kPlain;
  beds.path_prefix = "/beds";
  beds.non_idempotent_routes = {"POST /beds/holds"};
  config.services.emplace(beds.id, beds);
  ServiceConfig archive = beds;
  archive.id = ServiceId("archive");
  archive.path_prefix = "/beds/archive";
  archive.non_idempotent_routes.clear();
  config.services.emplace(archive.id, archive);
  return config;
}

TEST_CASE("The longest matching path prefix selects the service [entry]") {
  const SiteConfig config = MakeConfig();
  CallerLookup lookup;
  lookup.ApplyConfig(config);
  CHECK(lookup.FindPlainService("GET", "/beds")->service->id.value() ==
        "beds-api");
  CHECK(lookup.FindPlainService("GET", "/beds/archive/7?x=1")
            ->service->id.value() == "archive");
  CHECK(lookup.FindPlainService("GET", "/bedside").error().code ==
        ErrorCode::kNotFound);
}

TEST_CASE("Non-idempotent routes match escaped paths too [entry]") {
  const SiteConfig config = MakeConfig();
  CallerLookup lookup;
  lookup.ApplyConfig(config);
  CHECK(lookup.FindPlainService("POST", "/beds/holds")->is_non_idempotent);
  CHECK(lookup.FindPlainService("POST", "/beds/holds/12")->is_non_idempotent);
  CHECK(lookup.FindPlainService("POST", "/beds/%68olds")->is_non_idempotent);
  CHECK_FALSE(lookup.FindPlainService("GET", "/beds/holds")->is_non_idempotent);
  CHECK_FALSE(
      lookup.FindPlainService("POST", "/beds/holdsx")->is_non_idempotent);
}

TEST_CASE("Ambiguous paths are rejected [entry]") {
  const SiteConfig config = MakeConfig();
  CallerLookup lookup;
  lookup.ApplyConfig(config);
  for (const char* const target :
       {"/beds/x/../holds", "/beds//holds", "/beds/%2e%2e/holds",
        "/beds%2fholds", "/beds/%", "/beds/%4", "/beds/%zz", "/beds/a%00b",
        "beds", "", "/beds/.", "/beds\\holds"}) {
    CAPTURE(target);
    CHECK(lookup.FindPlainService("POST", target).error().code ==
          ErrorCode::kInvalidArgument);
  }
}

}  // namespace
}  // namespace kingcupdrift
