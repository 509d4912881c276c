#include "tests/config/config_harness.h"

#include <fmt/format.h>

namespace kingcupdrift {
namespace {

constexpr Duration kCallTimeLimit = std::chrono::seconds(10);

}  // namespace

ConfigDocuments SmallDocuments(int priority) {
  ConfigDocuments documents;
  documents.base = fmt::format(R"(
[sites.andina]
failure_domains = ["bogota-a"]
[sites.great-lakes]
failure_domains = ["gl-a"]
[services.chat]
kind = "model"
model = "m"
priority = {}
)",
                               priority);
  documents.overlays[kAndina] = "[services.chat]\nmax_queued = 10\n";
  documents.overlays[kGreatLakes] = "";
  return documents;
}

ConfigHarness::ConfigHarness()
    : client(NewClient()), store(*client, clock, random, kCallTimeLimit) {}

std::unique_ptr<fakes::FakeStore> ConfigHarness::NewClient() {
  return std::make_unique<fakes::FakeStore>(fakes::FakeStoreOptions(), model,
                                            clock);
}

Result<std::optional<StoredHead>> ConfigHarness::Head() {
  return Await<std::optional<StoredHead>>(
      [this](auto callback) { store.LoadHead(callback); });
}

Result<std::string> ConfigHarness::Submit(
    const ConfigDocuments& documents,
    const std::optional<StoredHead>& based_on) {
  return Await<std::string>([&](auto callback) {
    store.Submit(documents, based_on, "beto", callback);
  });
}

Result<Approval> ConfigHarness::Approve(const std::string& proposal,
                                        const std::string& approver) {
  return Await<Approval>(
      [&](auto callback) { store.Approve(proposal, approver, callback); });
}

StoredHead ConfigHarness::Publish(const ConfigDocuments& documents) {
  const auto proposal = Submit(documents, Head().value());
  return Approve(proposal.value()).value().head;
}

}  // namespace kingcupdrift
