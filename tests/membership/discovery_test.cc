#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>
#include <vector>

#include "kingcupdrift/membership/membership.h"

namespace kingcupdrift {
namespace {

std::vector<MemberRecord> MakeEntries(int count, int domains) {
  std::vector<MemberRecord> entries;
  for (int i = 0; i < count; ++i) {
    MemberRecord record;
    record.id = InstanceId(fmt::format("i{:03}", i));
    record.caller_endpoint =
        Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
    record.failure_domain = FailureDomain(fmt::format("d{}", i % domains));
    entries.push_back(record);
  }
  return entries;
}

std::set<InstanceId> FindHomes(const WorkspaceId& workspace,
                               const std::vector<MemberRecord>& entries) {
  SeededRandom random(1);
  const auto ranked = RankEntries(workspace, entries, random);
  std::set<InstanceId> homes;
  for (std::size_t i = 0; i < kHomeEntryCount; ++i) {
    homes.insert(ranked[i].id);
  }
  return homes;
}

TEST_CASE(
    "Home entries of a workspace are in different failure domains "
    "[membership]") {
  const auto entries = MakeEntries(8, 3);
  for (int w = 0; w < 50; ++w) {
    SeededRandom random(7);
    const auto ranked =
        RankEntries(WorkspaceId(fmt::format("w{}", w)), entries, random);
    std::set<FailureDomain> domains;
    for (std::size_t i = 0; i < kHomeEntryCount; ++i) {
      domains.insert(ranked[i].failure_domain);
    }
    CHECK(domains.size() == 3);
  }
}

TEST_CASE("Every entry computes the same home entries [membership]") {
  const auto entries = MakeEntries(8, 3);
  std::vector<MemberRecord> reversed(entries.rbegin(), entries.rend());
  for (int w = 0; w < 50; ++w) {
    const WorkspaceId workspace(fmt::format("w{}", w));
    CHECK(FindHomes(workspace, entries) == FindHomes(workspace, reversed));
  }
}

TEST_CASE(
    "Losing an entry changes the home entries of its workspaces only "
    "[membership]") {
  const auto entries = MakeEntries(8, 4);
  auto fewer = entries;
  const InstanceId lost = fewer.back().id;
  fewer.pop_back();
  for (int w = 0; w < 100; ++w) {
    const WorkspaceId workspace(fmt::format("w{}", w));
    const auto homes_before = FindHomes(workspace, entries);
    if (!homes_before.contains(lost)) {
      CHECK(FindHomes(workspace, fewer) == homes_before);
    }
  }
}

TEST_CASE(
    "Callers of one workspace are spread over its home entries "
    "[membership]") {
  const auto entries = MakeEntries(8, 3);
  SeededRandom random(42);
  std::map<InstanceId, int> first_choice;
  for (int i = 0; i < 300; ++i) {
    ++first_choice[RankEntries(WorkspaceId("w"), entries, random).front().id];
  }
  CHECK(first_choice.size() == kHomeEntryCount);
}

}  // namespace
}  // namespace kingcupdrift
