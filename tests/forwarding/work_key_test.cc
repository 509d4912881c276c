#include "kingcupdrift/forwarding/work_key.h"

#include <doctest/doctest.h>

#include "tests/forwarding/forwarding_harness.h"

namespace kingcupdrift::fakes {
namespace {

TEST_CASE("a repeated request has the same key under another identifier") {
  const WorkspaceId workspace("workspace");
  ForwardCall call = ForwardingHarness::Call("/safe/x");
  const WorkKey key = MakeRequestKey(call, workspace);
  CHECK(IsRequestKey(key));
  call.id = RequestId("another");
  call.time_limit = std::chrono::seconds(1);
  CHECK(MakeRequestKey(call, workspace) == key);
}

TEST_CASE("requests that differ in path, body, workspace or host differ") {
  const WorkspaceId workspace("workspace");
  const ForwardCall call = ForwardingHarness::Call("/safe/x");
  const WorkKey key = MakeRequestKey(call, workspace);
  CHECK(MakeRequestKey(call, WorkspaceId("other")) != key);
  ForwardCall other = call;
  other.target = "/safe/y";
  CHECK(MakeRequestKey(other, workspace) != key);
  other = call;
  other.body = std::make_shared<const std::string>("");
  CHECK(MakeRequestKey(other, workspace) != key);
  other = call;
  other.host = "example2";
  CHECK(MakeRequestKey(other, workspace) != key);
  // The same bytes, divided differently among the fields.
  other = call;
  other.host = call.host + "/";
  other.target = call.target.substr(1);
  CHECK(MakeRequestKey(other, workspace) != key);
}

TEST_CASE("prompts that declare other parts differ, with the same body") {
  const WorkspaceId workspace("workspace");
  ForwardCall call = ForwardingHarness::Prompt(1000);
  const WorkKey key = MakeRequestKey(call, workspace);
  call.prompt->shared_parts = {PromptPartId("part")};
  const WorkKey with_part = MakeRequestKey(call, workspace);
  CHECK(with_part != key);
  call.prompt->prompt = TokenCount(1001);
  CHECK(MakeRequestKey(call, workspace) != with_part);
}

TEST_CASE("no part of a prompt has the key of a request") {
  CHECK_FALSE(IsRequestKey(MakePartKey(PromptPartId("5c1e07a2"))));
}

}  // namespace
}  // namespace kingcupdrift::fakes
