#include "kingcupdrift/api/completion_parser.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "kingcupdrift/api/internal/json_members.h"

namespace kingcupdrift {
namespace {

using Members = std::vector<JsonMember>;

tl::unexpected<Error> Invalid(std::string detail) {
  return MakeError(ErrorCode::kInvalidArgument, std::move(detail));
}

/// Reads members by name and records the first error.
class MemberReader {
 public:
  explicit MemberReader(const Members& members) : members_(members) {}

  const JsonMember* Find(std::string_view key) const {
    for (const JsonMember& it : members_) {
      if (it.key == key && it.kind != JsonKind::kNull) {
        return &it;
      }
    }
    return nullptr;
  }

  std::string ReadModel() {
    const JsonMember* const member = Find("model");
    if (member == nullptr || member->kind != JsonKind::kString) {
      Fail("\"model\" must be a string");
      return {};
    }
    // Limits the cost of unescaping the name.
    if (member->raw.size() > kMaxModelNameBytes) {
      Fail("\"model\" is too long");
      return {};
    }
    const auto name = nlohmann::json::parse(member->raw, nullptr, false);
    if (!name.is_string() || name.get_ref<const std::string&>().empty()) {
      Fail("\"model\" must be a string that is not empty");
      return {};
    }
    return name.get<std::string>();
  }

  bool ReadFlag(std::string_view key) {
    const JsonMember* const member = Find(key);
    if (member == nullptr) {
      return false;
    }
    if (member->kind != JsonKind::kBoolean) {
      Fail("\"" + std::string(key) + "\" must be true or false");
      return false;
    }
    return member->raw == "true";
  }

  std::optional<std::int64_t> ReadInteger(std::string_view key,
                                          std::int64_t highest) {
    const JsonMember* const member = Find(key);
    if (member == nullptr) {
      return std::nullopt;
    }
    std::int64_t number = 0;
    const char* const end = member->raw.data() + member->raw.size();
    const auto [stop, ec] = std::from_chars(member->raw.data(), end, number);
    if (member->kind != JsonKind::kNumber || ec != std::errc() || stop != end ||
        number < 1 || number > highest) {
      Fail("\"" + std::string(key) + "\" must be a whole number from 1 to " +
           std::to_string(highest));
      return std::nullopt;
    }
    return number;
  }

  // Returns the bytes between the outer quotes or brackets.
  std::string_view ReadPrompt(CompletionKind kind) {
    const bool is_chat = kind == CompletionKind::kChat;
    const JsonMember* const member = Find(is_chat ? "messages" : "prompt");
    const bool is_allowed =
        member != nullptr && (member->kind == JsonKind::kArray ||
                              (member->kind == JsonKind::kString && !is_chat));
    if (!is_allowed || member->raw.size() <= 2) {
      Fail(is_chat ? "\"messages\" must be a list that is not empty"
                   : "\"prompt\" must be text or a list that is not empty");
      return {};
    }
    return member->raw.substr(1, member->raw.size() - 2);
  }

  void Fail(std::string detail) {
    if (!error_) {
      error_ = std::move(detail);
    }
  }
  const std::optional<std::string>& error() const { return error_; }

 private:
  const Members& members_;
  std::optional<std::string> error_;
};

// Refuses members given twice: parsers disagree on which of the two counts, so
// the entry and the engine could read different requests.
Result<Members> ListDistinctMembers(const std::string& body) {
  Result<Members> members = ListJsonMembers(body);
  if (!members) {
    return members;
  }
  std::set<std::string_view> seen;
  for (const JsonMember& it : *members) {
    if (!seen.insert(it.key).second) {
      return Invalid("the body has a member twice");
    }
    if (it.key == "continuation") {
      return Invalid("callers must not send \"continuation\"");
    }
  }
  return members;
}

BodySlice Part(const SharedBytes& body, std::size_t start, std::size_t end) {
  return {body, std::string_view(*body).substr(start, end - start)};
}

std::string ContinuationMember(const Continuation& continuation) {
  const nlohmann::json value = {{"text", continuation.text},
                                {"offset", continuation.offset}};
  return "\"continuation\":" +
         value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Result<CompletionCall> ParseCompletion(CompletionKind kind, SharedBytes body) {
  const Result<Members> members = ListDistinctMembers(*body);
  if (!members) {
    return tl::unexpected(members.error());
  }
  MemberReader reader(*members);
  CompletionCall call;
  call.kind = kind;
  call.model = reader.ReadModel();
  call.is_streaming = reader.ReadFlag("stream");
  auto limit = reader.ReadInteger("max_completion_tokens", kMaxOutputTokens);
  if (!limit) {
    limit = reader.ReadInteger("max_tokens", kMaxOutputTokens);
  }
  if (limit) {
    call.max_output_tokens = TokenCount(*limit);
  }
  reader.ReadInteger("n", 1);
  reader.ReadInteger("best_of", 1);
  const std::string_view prompt = reader.ReadPrompt(kind);
  if (reader.error()) {
    return Invalid(*reader.error());
  }
  call.prompt_tokens = EstimateTokens(prompt);
  call.block_digests = ComputeBlockDigests(prompt);
  call.body = std::move(body);
  return call;
}

std::vector<std::uint64_t> ComputeBlockDigests(std::string_view prompt) {
  std::vector<std::uint64_t> digests;
  digests.reserve(prompt.size() / kPromptBlockBytes);
  std::uint64_t previous = 0;
  while (prompt.size() >= kPromptBlockBytes) {
    previous = FastHash(prompt.substr(0, kPromptBlockBytes), previous);
    digests.push_back(previous);
    prompt.remove_prefix(kPromptBlockBytes);
  }
  return digests;
}

TokenCount EstimateTokens(std::string_view prompt) {
  const auto bytes = static_cast<std::int64_t>(prompt.size());
  return TokenCount((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

Result<BodySlices> MakeEngineBody(const SharedBytes& body,
                                  const Continuation& continuation) {
  const Result<Members> members = ListDistinctMembers(*body);
  if (!members) {
    return tl::unexpected(members.error());
  }
  BodySlices out;
  std::size_t sent = 0;
  std::string added;
  const JsonMember* stream = nullptr;
  for (const JsonMember& it : *members) {
    if (it.key == "stream") {
      stream = &it;
    }
  }
  if (stream != nullptr) {
    const auto start =
        static_cast<std::size_t>(stream->raw.data() - body->data());
    out.push_back(Part(body, 0, start));
    out.push_back(MakeSlice("true"));
    sent = start + stream->raw.size();
  } else {
    added = "\"stream\":true";
  }
  if (continuation.offset > 0) {
    added += added.empty() ? "" : ",";
    added += ContinuationMember(continuation);
  }
  const std::size_t end = body->find_last_of('}');
  out.push_back(Part(body, sent, end));
  if (!added.empty() && !members->empty()) {
    added.insert(0, ",");
  }
  out.push_back(MakeSlice(added + "}"));
  return out;
}

}  // namespace kingcupdrift
