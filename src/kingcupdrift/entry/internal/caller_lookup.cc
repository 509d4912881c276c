#include "kingcupdrift/entry/internal/caller_lookup.h"

#include <fmt/format.h>

#include <charconv>

namespace kingcupdrift {
namespace {

constexpr std::size_t kEscapeLength = 3;
constexpr int kHexadecimal = 16;

tl::unexpected<Error> MakeBadPathError() {
  return MakeError(ErrorCode::kInvalidArgument, "the path is malformed");
}

std::optional<char> DecodeEscape(std::string_view escape) {
  unsigned value = 0;
  const char* begin = escape.data() + 1;
  const char* end = escape.data() + kEscapeLength;
  const auto [stop, ec] = std::from_chars(begin, end, value, kHexadecimal);
  if (ec != std::errc() || stop != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

bool HasBadSegment(std::string_view path) {
  std::size_t begin = 1;
  while (begin <= path.size()) {
    std::size_t end = path.find('/', begin);
    if (end == std::string_view::npos) {
      end = path.size();
    }
    const std::string_view segment = path.substr(begin, end - begin);
    const bool is_last = end == path.size();
    if ((segment.empty() && !is_last) || segment == "." || segment == "..") {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

bool IsForbiddenCharacter(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f' || c == '\\';
}

}  // namespace

Result<std::string> DecodePath(std::string_view target) {
  const std::string_view raw = target.substr(0, target.find_first_of("?#"));
  if (raw.empty() || raw.front() != '/') {
    return MakeBadPathError();
  }
  std::string path;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    char c = raw[i];
    if (c == '%') {
      if (i + kEscapeLength > raw.size()) {
        return MakeBadPathError();
      }
      const auto decoded = DecodeEscape(raw.substr(i, kEscapeLength));
      // Some servers treat an escaped slash as a separator and others do not.
      if (!decoded || *decoded == '/') {
        return MakeBadPathError();
      }
      c = *decoded;
      i += kEscapeLength - 1;
    }
    if (IsForbiddenCharacter(c)) {
      return MakeBadPathError();
    }
    path.push_back(c);
  }
  if (HasBadSegment(path)) {
    return MakeBadPathError();
  }
  return path;
}

bool IsPathBelow(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

void CallerLookup::ApplyConfig(const SiteConfig& config) {
  config_ = &config;
  by_token_digest_.clear();
  for (const auto& [id, workspace] : config.workspaces) {
    by_token_digest_.emplace(workspace.token_digest, &workspace);
  }
  by_model_.clear();
  for (const auto& [id, service] : config.services) {
    if (service.kind == ServiceKind::kModel) {
      by_model_.emplace(service.model, &service);
    }
  }
}

const WorkspaceConfig* CallerLookup::FindWorkspace(
    std::string_view token) const {
  // The time of a lookup by digest reveals nothing useful about the token.
  const auto it = by_token_digest_.find(ComputeSha256Hex(token));
  return it == by_token_digest_.end() ? nullptr : it->second;
}

const ServiceConfig* CallerLookup::FindServiceOfModel(
    const std::string& model) const {
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? nullptr : it->second;
}

Result<PlainRoute> CallerLookup::FindPlainService(
    std::string_view method,
    std::string_view target) const {
  const Result<std::string> path = DecodePath(target);
  if (!path) {
    return tl::make_unexpected(path.error());
  }
  PlainRoute route;
  for (const auto& [id, service] : config_->services) {
    const bool is_match = service.kind == ServiceKind::kPlain &&
                          IsPathBelow(*path, service.path_prefix);
    const bool is_longer =
        route.service == nullptr ||
        service.path_prefix.size() > route.service->path_prefix.size();
    if (is_match && is_longer) {
      route.service = &service;
    }
  }
  if (route.service == nullptr) {
    return MakeError(ErrorCode::kNotFound, "no service has this path");
  }
  for (const std::string& it : route.service->non_idempotent_routes) {
    const std::size_t space = it.find(' ');
    const std::string_view rule = it;
    if (space != std::string::npos && rule.substr(0, space) == method &&
        IsPathBelow(*path, rule.substr(space + 1))) {
      route.is_non_idempotent = true;
    }
  }
  return route;
}

}  // namespace kingcupdrift
