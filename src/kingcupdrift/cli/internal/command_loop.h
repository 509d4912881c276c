#ifndef KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LOOP_H_
#define KINGCUPDRIFT_CLI_INTERNAL_COMMAND_LOOP_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Runs the program's loop while a command waits.
class CommandLoop {
 public:
  virtual ~CommandLoop() = default;
  /// False if `limit` passes before `is_done` holds.
  virtual bool RunUntil(const std::function<bool()>& is_done,
                        Duration limit) = 0;
};

/// Starts an asynchronous call and waits for its callback. A callback that
/// comes after the limit is ignored.
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
