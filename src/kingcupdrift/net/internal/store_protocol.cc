#include "kingcupdrift/net/internal/store_protocol.h"

#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/api/json_fields.h"

namespace kingcupdrift {
namespace {

using nlohmann::json;

tl::unexpected<Error> MakeResponseError() {
  return MakeError(ErrorCode::kProtocol, "the store's answer is not valid");
}

std::string ToDecimal(std::int64_t number) {
  return std::to_string(number);
}

json MakeCondition(const std::string& key, StoreVersion expected) {
  return {{"key", EncodeStoreText(key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", ToDecimal(expected.value())}};
}

json MakeTransaction(const std::string& key,
                     StoreVersion expected,
                     json operation) {
  json request = json::object();
  request["compare"] = json::array({MakeCondition(key, expected)});
  request["success"] = json::array({std::move(operation)});
  request["failure"] = json::array();
  return request;
}

}  // namespace

std::string EncodeStoreText(const std::string& bytes) {
  return EncodeBase64(bytes, Base64Variant::kStandard);
}

std::optional<std::string> DecodeBase64Field(const json& object,
                                             const char* name) {
  return DecodeBase64(GetStringField(object, name), Base64Variant::kStandard);
}

std::string GetPrefixRangeEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  // A single zero byte means that the range has no end.
  return {'\0'};
}

json MakeGetRequest(const std::string& key) {
  return {{"key", EncodeStoreText(key)}};
}

json MakePrefixRequest(const std::string& prefix) {
  return {{"key", EncodeStoreText(prefix)},
          {"range_end", EncodeStoreText(GetPrefixRangeEnd(prefix))}};
}

json MakeSwapRequest(const std::string& key,
                     StoreVersion expected,
                     const std::string& value,
                     LeaseId lease) {
  json put = {{"key", EncodeStoreText(key)}, {"value", EncodeStoreText(value)}};
  if (lease.value() != 0) {
    put["lease"] = ToDecimal(lease.value());
  }
  return MakeTransaction(key, expected, {{"request_put", std::move(put)}});
}

json MakeDeleteRequest(const std::string& key, StoreVersion expected) {
  return MakeTransaction(
      key, expected,
      {{"request_delete_range", {{"key", EncodeStoreText(key)}}}});
}

json MakeWatchRequest(const std::string& prefix, StoreVersion first) {
  json create = MakePrefixRequest(prefix);
  create["start_revision"] = ToDecimal(first.value());
  return {{"create_request", std::move(create)}};
}

Result<StoreListing> ReadRangeAnswer(const json& answer) {
  if (!answer.is_object()) {
    return MakeResponseError();
  }
  StoreListing listing;
  listing.version = StoreVersion(
      GetIntegerField(GetObjectField(answer, "header"), "revision"));
  for (const json& it : GetArrayField(answer, "kvs")) {
    auto key = DecodeBase64Field(it, "key");
    auto value = DecodeBase64Field(it, "value");
    const StoreVersion version(GetIntegerField(it, "mod_revision"));
    if (!key || !value || version.value() <= 0) {
      return MakeResponseError();
    }
    listing.entries.push_back({*std::move(key), {*std::move(value), version}});
  }
  return listing;
}

Result<StoreVersion> ReadTransactionAnswer(const json& answer) {
  const StoreVersion revision(
      GetIntegerField(GetObjectField(answer, "header"), "revision"));
  if (revision.value() <= 0) {
    return MakeResponseError();
  }
  // The gateway omits members that are false, so an absent one means failure.
  if (!GetBoolField(answer, "succeeded")) {
    return MakeError(ErrorCode::kConflict, "the key has another version");
  }
  return revision;
}

Result<StoreEvent> ReadWatchEvent(const json& event) {
  const json& pair = GetObjectField(event, "kv");
  auto key = DecodeBase64Field(pair, "key");
  auto value = DecodeBase64Field(pair, "value");
  const StoreVersion version(GetIntegerField(pair, "mod_revision"));
  if (!key || key->empty() || !value || version.value() <= 0) {
    return MakeResponseError();
  }
  StoreEvent out;
  out.key = *std::move(key);
  out.version = version;
  if (GetStringField(event, "type") != "DELETE") {
    out.value = StoreValue{*std::move(value), version};
  }
  return out;
}

}  // namespace kingcupdrift
