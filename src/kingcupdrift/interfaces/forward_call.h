#ifndef KINGCUPDRIFT_INTERFACES_FORWARD_CALL_H_
#define KINGCUPDRIFT_INTERFACES_FORWARD_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/service_client.h"

namespace kingcupdrift {

/// A model prompt as its caller declared it; the entry (the serving
/// process) does not parse the body.
struct PromptSize {
  TokenCount prompt;
  /// Largest number of tokens that the answer may have.
  TokenCount max_output;
  /// The caller's estimate of the answer; `max_output` without one.
  TokenCount expected_output;
  /// The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> shared_parts = {};
};

/// A caller's request that is forwarded without parsing its body.
struct ForwardCall {
  /// Chosen by the caller for this call; a repeated call has another.
  RequestId id;
  std::string host;
  std::string method;
  /// Path and query, as the caller sent them.
  std::string target;
  /// Headers for the target, without those of the caller's connection and
  /// without those that the entry's HTTP server evaluates itself.
  HeaderList headers;
  /// Never null.
  SharedBytes body;
  /// The caller's API key, which is secret; empty without one.
  std::string key;
  /// The caller's time limit, from arrival; absent without one.
  std::optional<Duration> time_limit;
  /// Present for model prompts.
  std::optional<PromptSize> prompt;
  /// The caller has the events up to this one; the answer continues after it.
  std::optional<std::uint64_t> last_event_id;
  /// Another entry, which reaches no engine, passed the call on.
  bool is_relayed = false;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_INTERFACES_FORWARD_CALL_H_
