#ifndef KINGCUPDRIFT_INTERFACES_CALLER_CALLS_H_
#define KINGCUPDRIFT_INTERFACES_CALLER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/engine_client.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// Data that every caller's call carries.
struct CallerContext {
  /// The workspace's secret token, from "Authorization: Bearer".
  std::string workspace_token;
  /// The caller's time limit; absent means the service's default.
  std::optional<Duration> time_limit;
  /// "Idempotency-Key"; empty without one.
  std::string idempotency_key;
};

/// A parsed completion request. `body` is what the caller sent.
struct CompletionCall {
  CallerContext context;
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  bool is_streaming = false;
  SharedBytes body;
  /// Estimate from the prompt's bytes.
  TokenCount prompt_tokens;
  /// Absent means the service's default.
  std::optional<TokenCount> max_output_tokens;
  /// Digests of the prompt's prefixes: digest n covers its first n whole blocks
  /// of bytes.
  std::vector<std::uint64_t> block_digests;
};

/// A call to a plain service: one that serves no model, is selected by path,
/// and answers with a whole HTTP response.
struct PlainCall {
  CallerContext context;
  std::string method;
  /// Path and query, as the caller sent them.
  std::string target;
  HeaderList headers;
  SharedBytes body;
};

/// Asks to continue a stream that any entry (serving process) began.
struct ResumeCall {
  CallerContext context;
  std::string resume_token;
  /// Tokens that the caller already has.
  std::uint64_t received_tokens = 0;
  /// Unused: a resumed answer is always streamed.
  bool is_streaming = true;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CALLER_CALLS_H_
