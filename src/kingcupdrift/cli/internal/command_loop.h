#ifndef KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LOOP_H_
#define KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LOOP_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Runs the event loop while a command waits.
class CommandLoop {
 public:
  virtual ~CommandLoop() = default;
  /// Runs the loop until `is_done` returns true; returns false if `limit`
  /// passes first.
  virtual bool RunUntil(const std::function<bool()>& is_done,
                        Duration limit) = 0;
};

/// Starts an asynchronous call and waits for its callback. Errors:
/// kDeadlineExceeded after `limit`; a later callback is ignored.
template <typename T, typename Start>
Result<T> Await(CommandLoop& loop, Duration limit, Start start) {
  const auto result = std::make_shared<std::optional<Result<T>>>();
  start([result](Result<T> it) { result->emplace(std::move(it)); });
  loop.RunUntil([&result] { return result->has_value(); }, limit);
  if (!result->has_value()) {
    return MakeError(ErrorCode::kDeadlineExceeded,
                     "no answer within the time limit");
  }
  return std::move(**result);
}

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LOOP_H_
