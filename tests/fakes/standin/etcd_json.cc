#include "tests/fakes/standin/etcd_json.h"

#include <sodium.h>

namespace kingcupdrift::fakes {

std::string EncodeBase64(const std::string& bytes) {
  std::string text(
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  // Drops the null character that the library appends.
  text.pop_back();
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t n = 0;
  const int status = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &n, nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes.resize(status == 0 ? n : 0);
  return bytes;
}

std::int64_t ReadInteger(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return 0;
  }
  if (it->is_string()) {
    return std::strtoll(it->get_ref<const std::string&>().c_str(), nullptr, 10);
  }
  return it->is_number() ? it->get<std::int64_t>() : 0;
}

std::string ReadBytes(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) {
    return "";
  }
  return DecodeBase64(it->get<std::string>());
}

Json HeaderJson(StoreVersion revision) {
  return {{"revision", std::to_string(revision.value())}};
}

Json KeyValueJson(const std::string& key, const StoreValue& value) {
  const std::string version = std::to_string(value.version.value());
  return {{"key", EncodeBase64(key)},
          {"value", EncodeBase64(value.value)},
          {"mod_revision", version}};
}

Json EventJson(const StoreEvent& event) {
  if (event.value) {
    return {{"kv", KeyValueJson(event.key, *event.value)}};
  }
  return {{"type", "DELETE"},
          {"kv",
           {{"key", EncodeBase64(event.key)},
            {"mod_revision", std::to_string(event.version.value())}}}};
}

}  // namespace kingcupdrift::fakes
