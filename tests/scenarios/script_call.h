#ifndef TESTS_SCENARIOS_SCRIPT_CALL_H_
#define TESTS_SCENARIOS_SCRIPT_CALL_H_

#include <lua.hpp>

#include <functional>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::scenarios {

/// Arguments and results of one call from a script to a C++ function. Argument
/// indexes begin at 1; options are fields of a table in the last argument. A
/// missing number or option has its default value.
class ScriptCall {
 public:
  explicit ScriptCall(lua_State* state) : state_(state) {}

  std::string GetString(int index);
  double GetNumber(int index, double default_value = 0);
  /// Converts a number of seconds; `default_value` is in seconds too.
  Duration GetDuration(int index, double default_value = 0);
  bool GetBool(int index);
  /// Returns a condition that calls the Lua function at `index` without
  /// arguments. An error in it fails the call and ends the wait: the condition
  /// returns true. Valid while this object lives.
  std::function<bool()> GetCondition(int index);

  double NumberOption(const char* name, double default_value);
  std::string TextOption(const char* name, const char* default_value = "");
  bool FlagOption(const char* name, bool default_value = false);

  void PushResult(const std::string& text);
  void PushResult(double number);
  void PushResult(bool flag);

  /// Ends the script with `message` once the C++ function returns. Only the
  /// first message counts.
  void Fail(std::string message);
  bool has_failed() const { return !failure_.empty(); }
  const std::string& failure() const { return failure_; }
  int results() const { return results_; }
  lua_State* state() const { return state_; }

 private:
  bool PushOption(const char* name);

  lua_State* state_;
  std::string failure_;
  int results_ = 0;
};

}  // namespace kingcupdrift::scenarios

#endif  // TESTS_SCENARIOS_SCRIPT_CALL_H_
