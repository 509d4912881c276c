#include "kingcupdrift/forwarding/work_key.h"

#include <fmt/format.h>

#include <string_view>

namespace kingcupdrift {
namespace {

constexpr std::string_view kRequestPrefix = "request:";

}  // namespace

WorkKey MakeRequestKey(const ForwardCall& call, const WorkspaceId& workspace) {
  std::uint64_t digest = 0;
  for (const std::string_view field :
       {std::string_view(call.method), std::string_view(call.host),
        std::string_view(call.target), std::string_view(workspace.value()),
        std::string_view(*call.body)}) {
    // The seed carries the fields before, so that their borders count.
    digest = FastHash(field, digest);
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
