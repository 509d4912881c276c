#include "kingcupdrift/forwarding/work_key.h"

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace kingcupdrift {
namespace {

constexpr std::string_view kRequestPrefix = "request:";

}  // namespace

WorkKey MakeRequestKey(const ForwardCall& call, const WorkspaceId& workspace) {
  std::uint64_t digest = 0;
  const auto add = [&digest](std::string_view field) {
    // The seed carries the fields before, so that their borders count.
    digest = FastHash(field, digest);
  };
  add(call.method);
  add(call.host);
  add(call.target);
  add(workspace.value());
  add(*call.body);
  if (call.prompt) {
    add(std::to_string(call.prompt->prompt.value()));
    for (const PromptPartId& it : call.prompt->shared_parts) {
      add(it.value());
    }
  }
  return WorkKey(fmt::format("{}{:016x}", kRequestPrefix, digest));
}

WorkKey MakePartKey(const PromptPartId& part) {
  return WorkKey(part.value());
}

bool IsRequestKey(const WorkKey& key) {
  return key.value().starts_with(kRequestPrefix);
}

}  // namespace kingcupdrift
