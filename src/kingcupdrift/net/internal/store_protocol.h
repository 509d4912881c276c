#ifndef KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_
#define KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// @file
/// Writes and reads the JSON bodies of etcd's gateway. Keys and values are in
/// base64, 64-bit numbers in decimal text.

/// Encodes a key or a value.
std::string EncodeStoreText(const std::string& bytes);
/// Decodes the key or value in the member `name`; absent if it is not base64.
std::optional<std::string> DecodeBase64Field(const nlohmann::json& object,
                                             const char* name);

/// End of the range of keys that start with `prefix`: the prefix with its last
/// byte raised. One zero byte, which means no end, if it has only 0xff bytes.
std::string GetPrefixRangeEnd(std::string prefix);

nlohmann::json MakeGetRequest(const std::string& key);
nlohmann::json MakePrefixRequest(const std::string& prefix);
nlohmann::json MakeSwapRequest(const std::string& key,
                               StoreVersion expected,
                               const std::string& value,
                               LeaseId lease);
nlohmann::json MakeDeleteRequest(const std::string& key, StoreVersion expected);
/// `first` is the lowest version that is reported.
nlohmann::json MakeWatchRequest(const std::string& prefix, StoreVersion first);

/// Reads the records of a range response; kProtocol if it is malformed.
Result<StoreListing> ReadRangeAnswer(const nlohmann::json& answer);
/// Reads the version that a transaction created. kConflict if its condition did
/// not hold, kProtocol if the response is malformed.
Result<StoreVersion> ReadTransactionAnswer(const nlohmann::json& answer);
/// Reads one event of a watch; kProtocol if it is malformed.
Result<StoreEvent> ReadWatchEvent(const nlohmann::json& event);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_
