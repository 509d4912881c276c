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

/// What every call carries.
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
  std::optional<TokenCount> max_output_tokens;
  /// Chain of digests over fixed blocks of the prompt's bytes.
  std::vector<std::uint64_t> block_digests;
};

/// A call to a plain service.
struct PlainCall {
  CallerContext context;
  std::string method;
  std::string target;
  HeaderList headers;
  SharedBytes body;
};

/// Goes on with a stream that another entry began.
struct ResumeCall {
  CallerContext context;
  std::string resume_token;
  /// Tokens that the caller already has.
  std::uint64_t received_tokens = 0;
  bool is_streaming = true;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_CALLER_CALLS_H_
