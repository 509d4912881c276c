#include "kingcupdrift/api/resume_token.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kingcupdrift/api/base64.h"
#include "kingcupdrift/api/internal/json_text.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

// Input prefix of the HMAC, so that codes made with the same secret for other
// purposes are no valid tokens.
constexpr std::string_view kPurpose = "resume-token:";

std::string ComputeMac(std::string_view secret, std::string_view payload) {
  return ComputeHmacSha256Hex(secret,
                              std::string(kPurpose) + std::string(payload));
}

tl::unexpected<Error> Refused(std::string detail) {
  return MakeError(ErrorCode::kUnauthorized, std::move(detail));
}

std::optional<std::string> ReadText(const json& payload, const char* key) {
  const auto it = payload.find(key);
  if (it == payload.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::optional<std::int64_t> ReadNumber(const json& payload, const char* key) {
  const auto it = payload.find(key);
  if (it == payload.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return it->get<std::int64_t>();
}

std::optional<ResumeToken> ReadPayload(const json& payload) {
  const auto engine = ReadText(payload, "e");
  const auto service = ReadText(payload, "s");
  const auto attempt = ReadText(payload, "a");
  const auto request = ReadText(payload, "r");
  const auto workspace = ReadText(payload, "w");
  const auto model = ReadText(payload, "m");
  const auto kind = ReadNumber(payload, "k");
  const auto prompt_tokens = ReadNumber(payload, "p");
  const auto expiry = ReadNumber(payload, "x");
  if (!engine || !service || !attempt || !request || !workspace || !model ||
      !kind || !prompt_tokens || !expiry) {
    return std::nullopt;
  }
  ResumeToken token;
  token.engine = EngineId(*engine);
  token.service = ServiceId(*service);
  token.attempt = AttemptId(*attempt);
  token.request = RequestId(*request);
  token.workspace = WorkspaceId(*workspace);
  token.model = *model;
  token.kind = *kind == 1 ? CompletionKind::kChat : CompletionKind::kText;
  token.prompt_tokens = TokenCount(*prompt_tokens);
  token.expiry = WallTime(Duration(*expiry));
  return token;
}

}  // namespace

std::string EncodeResumeToken(const ResumeToken& token,
                              std::string_view secret) {
  const json payload = {{"e", token.engine.value()},
                        {"s", token.service.value()},
                        {"a", token.attempt.value()},
                        {"r", token.request.value()},
                        {"w", token.workspace.value()},
                        {"m", token.model},
                        {"k", token.kind == CompletionKind::kChat ? 1 : 0},
                        {"p", token.prompt_tokens.value()},
                        {"x", token.expiry.time_since_epoch().count()}};
  const std::string text =
      EncodeBase64(ToJsonText(payload), Base64Variant::kUrlWithoutPadding);
  return text + "." + ComputeMac(secret, text);
}

Result<ResumeToken> DecodeResumeToken(std::string_view text,
                                      std::string_view secret,
                                      WallTime now) {
  const std::size_t dot = text.rfind('.');
  if (text.size() > kMaxResumeTokenBytes || dot == std::string_view::npos) {
    return Refused("the resume token is not well-formed");
  }
  const std::string_view payload_text = text.substr(0, dot);
  if (!ConstantTimeEquals(ComputeMac(secret, payload_text),
                          text.substr(dot + 1))) {
    return Refused("the resume token is not authentic");
  }
  const auto bytes =
      DecodeBase64(payload_text, Base64Variant::kUrlWithoutPadding);
  if (!bytes) {
    return Refused("the resume token is not well-formed");
  }
  const json payload = json::parse(*bytes, nullptr, false);
  std::optional<ResumeToken> token;
  if (payload.is_object()) {
    token = ReadPayload(payload);
  }
  if (!token) {
    return Refused("the resume token is not well-formed");
  }
  if (token->expiry <= now) {
    return Refused("the resume token has expired");
  }
  return *std::move(token);
}

}  // namespace kingcupdrift
