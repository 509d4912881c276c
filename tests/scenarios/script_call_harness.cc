#include <fmt/format.h>

#include <utility>

#include "tests/scenarios/script_call.h"

namespace kingcupdrift::scenarios {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

std::string ScriptCall::GetString(int index) {
  // Accepts strings only: lua_tolstring would convert a number in place.
  if (lua_type(state_, index) != LUA_TSTRING) {
    Fail(fmt::format("argument {} must be a string", index));
    return "";
  }
  return lua_tostring(state_, index);
}

double ScriptCall::GetNumber(int index, double default_value) {
  if (lua_isnoneornil(state_, index)) {
    return default_value;
  }
  if (lua_type(state_, index) != LUA_TNUMBER) {
    Fail(fmt::format("argument {} must be a number", index));
    return default_value;
  }
  return lua_tonumber(state_, index);
}

Duration ScriptCall::GetDuration(int index, double default_value) {
  const double seconds = GetNumber(index, default_value);
  return Duration(static_cast<Duration::rep>(seconds * kMicrosPerSecond));
}

bool ScriptCall::GetBool(int index) {
  return lua_toboolean(state_, index) != 0;
}

std::function<bool()> ScriptCall::GetCondition(int index) {
  if (lua_type(state_, index) != LUA_TFUNCTION) {
    Fail(fmt::format("argument {} must be a function", index));
    return [] { return true; };
  }
  return [this, index] {
    lua_pushvalue(state_, index);
    if (lua_pcall(state_, 0, 1, 0) != LUA_OK) {
      Fail(lua_tostring(state_, -1));
      lua_pop(state_, 1);
      return true;
    }
    const bool holds = lua_toboolean(state_, -1) != 0;
    lua_pop(state_, 1);
    return holds;
  };
}

bool ScriptCall::PushOption(const char* name) {
  const int top = lua_gettop(state_);
  if (top == 0 || !lua_istable(state_, top)) {
    return false;
  }
  lua_pushstring(state_, name);
  lua_rawget(state_, top);
  if (lua_isnil(state_, -1)) {
    lua_pop(state_, 1);
    return false;
  }
  return true;
}

double ScriptCall::NumberOption(const char* name, double default_value) {
  if (!PushOption(name)) {
    return default_value;
  }
  const double number = lua_tonumber(state_, -1);
  lua_pop(state_, 1);
  return number;
}

std::string ScriptCall::TextOption(const char* name,
                                   const char* default_value) {
  if (!PushOption(name)) {
    return default_value;
  }
  const char* text = lua_tostring(state_, -1);
  std::string copy = text == nullptr ? default_value : text;
  lua_pop(state_, 1);
  return copy;
}

bool ScriptCall::FlagOption(const char* name, bool default_value) {
  if (!PushOption(name)) {
    return default_value;
  }
  const bool flag = lua_toboolean(state_, -1) != 0;
  lua_pop(state_, 1);
  return flag;
}

void ScriptCall::PushResult(const std::string& text) {
  lua_pushlstring(state_, text.data(), text.size());
  ++results_;
}

void ScriptCall::PushResult(double number) {
  lua_pushnumber(state_, number);
  ++results_;
}

void ScriptCall::PushResult(bool flag) {
  lua_pushboolean(state_, flag ? 1 : 0);
  ++results_;
}

void ScriptCall::Fail(std::string message) {
  if (failure_.empty()) {
    failure_ = std::move(message);
  }
}

}  // namespace kingcupdrift::scenarios
