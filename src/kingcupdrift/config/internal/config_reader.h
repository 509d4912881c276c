#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_READER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/config/config_store.h"
#include "kingcupdrift/config/internal/retrying_store.h"

namespace kingcupdrift::internal {

std::string HeadRecordKey(Generation generation);

/// Parses the value of the head's key.
Result<StoredHead> ParseStoredHead(const StoreValue& stored);

/// Reads configuration records and documents, and checks what it reads. One
/// object does one read at a time.
class ConfigReader {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  explicit ConfigReader(RetryingStore& store) : store_(store) {}

  void LoadHead(Callback<std::optional<StoredHead>> callback);
  /// The record of an earlier generation. Errors: kNotFound.
  void LoadRecord(Generation generation, Callback<ConfigHead> callback);
  void LoadProposal(const std::string& digest,
                    Callback<ConfigProposal> callback);
  /// A document, checked against its digest.
  void LoadBlob(const std::string& digest, Callback<std::string> callback);
  void LoadDocuments(const DocumentDigests& digests,
                     Callback<ConfigDocuments> callback);

 private:
  /// Loads a value stored under its own digest; kProtocol if it is not.
  void LoadDigested(const std::string& prefix,
                    const std::string& digest,
                    Callback<std::string> callback);
  struct Wanted {
    /// Empty for the base.
    SiteId site;
    std::string digest;
  };

  void LoadNextDocument();

  RetryingStore& store_;
  std::vector<Wanted> wanted_;
  ConfigDocuments loaded_;
  Callback<ConfigDocuments> documents_callback_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_READER_H_
