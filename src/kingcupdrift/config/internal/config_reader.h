#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_READER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_CONFIG_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/config/config_store.h"
#include "kingcupdrift/config/internal/retrying_store.h"

namespace kingcupdrift::internal {

/// Store key of the record of an earlier generation.
std::string HeadRecordKey(Generation generation);

/// Parses the value of the head key. Errors: kProtocol.
Result<StoredHead> ParseStoredHead(const StoreValue& stored);

/// Reads configuration records and documents and checks their form and digests.
/// The next call may start only after the previous one has called back.
class ConfigReader {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  explicit ConfigReader(RetryingStore& store) : store_(store) {}

  /// Loads the newest approved head; empty before the first approval.
  void LoadHead(Callback<std::optional<StoredHead>> callback);
  /// Loads the record stored under an earlier generation. The generation inside
  /// the record is not compared; the caller checks it. Errors: kNotFound,
  /// kProtocol.
  void LoadRecord(Generation generation, Callback<ConfigHead> callback);
  void LoadProposal(const std::string& digest,
                    Callback<ConfigProposal> callback);
  /// Loads one document and checks it against its digest. Errors: kNotFound,
  /// kProtocol.
  void LoadBlob(const std::string& digest, Callback<std::string> callback);
  void LoadDocuments(const DocumentDigests& digests,
                     Callback<ConfigDocuments> callback);

 private:
  /// Loads the text stored under `prefix` and its digest. Errors: kNotFound;
  /// kProtocol if the text has another digest.
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
