#ifndef KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_
#define KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The JSON bodies of etcd's gateway. Keys and values are in base64, 64-bit
/// numbers in decimal text.
std::string EncodeStoreText(const std::string& bytes);
std::optional<std::string> DecodeStoreText(const nlohmann::json& object,
                                           const char* key);

/// End of the range of keys that start with `prefix`.
std::string GetPrefixRangeEnd(std::string prefix);

nlohmann::json MakeRangeRequest(const std::string& key);
nlohmann::json MakePrefixRequest(const std::string& prefix);
nlohmann::json MakeSwapRequest(const std::string& key,
                               StoreVersion expected,
                               const std::string& value,
                               LeaseId lease);
nlohmann::json MakeDeleteRequest(const std::string& key, StoreVersion expected);
/// `first` is the lowest revision that is reported.
nlohmann::json MakeWatchRequest(const std::string& prefix, StoreVersion first);

/// Entries of a range answer; kProtocol if it is not well-formed.
Result<StoreListing> ReadRangeAnswer(const nlohmann::json& answer);
/// The new version; kConflict if the condition did not hold.
Result<StoreVersion> ReadTransactionAnswer(const nlohmann::json& answer);
/// One event of a watch; kProtocol if it is not well-formed.
Result<StoreEvent> ReadWatchEvent(const nlohmann::json& event);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_STORE_PROTOCOL_H_
