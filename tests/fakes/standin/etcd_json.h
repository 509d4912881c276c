#ifndef TESTS_FAKES_STANDIN_ETCD_JSON_H_
#define TESTS_FAKES_STANDIN_ETCD_JSON_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift::fakes {

using Json = nlohmann::json;

/// Standard base64 with padding, the encoding of bytes in etcd's JSON gateway.
/// Decoding a malformed text gives an empty string.
std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

/// Reads an integer member written as a number or as text; 0 if it is absent.
std::int64_t ReadInteger(const Json& object, const char* name);
/// Reads a base64 member; empty if it is absent.
std::string ReadBytes(const Json& object, const char* name);

/// {"revision": ...}.
Json HeaderJson(StoreVersion revision);
/// A key with its value and mod_revision.
Json KeyValueJson(const std::string& key, const StoreValue& value);
/// One event of a watch.
Json EventJson(const StoreEvent& event);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_STANDIN_ETCD_JSON_H_
