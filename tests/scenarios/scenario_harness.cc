#include <cstdlib>

#include "tests/scenarios/scenario.h"

namespace kingcupdrift::scenarios {
namespace {

/// Closes the interpreter at the end of a scope.
struct StateCloser {
  void operator()(lua_State* state) const { lua_close(state); }
};
using StateHandle = std::unique_ptr<lua_State, StateCloser>;

/// Calls the ScriptFunction in the first upvalue on the scenario in the second.
/// lua_error() leaves by longjmp and skips destructors, so that every C++
/// object is destroyed before it is called.
int InvokeScriptFunction(lua_State* state) {
  int results = 0;
  bool has_failed = false;
  {
    const auto* function = static_cast<const ScriptFunction*>(
        lua_touserdata(state, lua_upvalueindex(1)));
    auto* scenario =
        static_cast<Scenario*>(lua_touserdata(state, lua_upvalueindex(2)));
    ScriptCall call(state);
    if (scenario->cluster == nullptr && function->name != "cluster") {
      call.Fail("the script must call cluster first");
    } else {
      function->run(*scenario, call);
    }
    results = call.results();
    has_failed = call.has_failed();
    if (has_failed) {
      luaL_where(state, 1);
      lua_pushlstring(state, call.failure().data(), call.failure().size());
      lua_concat(state, 2);
    }
  }
  return has_failed ? lua_error(state) : results;
}

std::vector<ScriptFunction> ListAllFunctions() {
  std::vector<ScriptFunction> all;
  for (const auto& functions :
       {ListClusterFunctions(), ListCallerFunctions(), ListPlatformFunctions(),
        ListCheckFunctions()}) {
    all.insert(all.end(), functions.begin(), functions.end());
  }
  return all;
}

}  // namespace

std::string RunScript(const std::string& path, std::uint64_t seed) {
  Scenario scenario;
  scenario.seed = seed;
  const std::vector<ScriptFunction> functions = ListAllFunctions();
  const StateHandle state(luaL_newstate());
  luaL_openlibs(state.get());
  for (const ScriptFunction& function : functions) {
    // Lua takes a non-const pointer, but nothing writes through it.
    lua_pushlightuserdata(state.get(), const_cast<ScriptFunction*>(&function));
    lua_pushlightuserdata(state.get(), &scenario);
    lua_pushcclosure(state.get(), InvokeScriptFunction, 2);
    lua_setglobal(state.get(), std::string(function.name).c_str());
  }
  lua_pushinteger(state.get(), static_cast<lua_Integer>(seed));
  lua_setglobal(state.get(), "seed");
  if (luaL_dofile(state.get(), path.c_str()) != LUA_OK) {
    const char* message = lua_tostring(state.get(), -1);
    return message == nullptr ? "unknown failure" : message;
  }
  return "";
}

std::uint64_t SeedFromEnvironment(std::uint64_t default_value) {
  const char* text = std::getenv("KINGCUPDRIFT_SEED");
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

}  // namespace kingcupdrift::scenarios
