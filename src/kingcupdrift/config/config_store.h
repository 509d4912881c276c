#ifndef KINGCUPDRIFT_CONFIG_CONFIG_STORE_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"
#include "kingcupdrift/config/config_head.h"
#include "kingcupdrift/config/config_proposal.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// Keys of the configuration in the platform's store.
inline constexpr char kConfigHeadKey[] = "/kingcupdrift/config/head";
inline constexpr char kConfigHeadRecordPrefix[] = "/kingcupdrift/config/heads/";
inline constexpr char kConfigBlobPrefix[] = "/kingcupdrift/config/blob/";
inline constexpr char kConfigProposalPrefix[] =
    "/kingcupdrift/config/proposal/";

/// The head record in the store.
struct StoredHead {
  ConfigHead head;
  std::string digest;
  /// Version of the head's key.
  StoreVersion version;
};

/// Result of an approval that took effect.
struct Approval {
  StoredHead head;
  /// The proposal had been approved before this call.
  bool was_already_approved = false;
};

/// Reads and changes the approved configuration. Calls are asynchronous and
/// retry store faults until `time_limit` from their start; each ends with
/// exactly one callback, after which it holds nothing. Destroying the object
/// drops running calls without callback.
class ConfigStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  ConfigStore(PlatformStore& store,
              Clock& clock,
              Random& random,
              Duration time_limit);
  ~ConfigStore();
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  /// The head in force; empty before the first approval.
  void LoadHead(Callback<std::optional<StoredHead>> callback);

  /// Loads documents and checks each against its digest. Errors: kProtocol
  /// when the stored text does not match.
  void LoadDocuments(const DocumentDigests& digests,
                     Callback<ConfigDocuments> callback);

  /// Stores the documents and a proposal based on `based_on`, the head they
  /// were written against. Returns the proposal's digest. Repeating it is
  /// harmless. Errors: kInvalidArgument when a document has a fault.
  void Submit(const ConfigDocuments& documents,
              const std::optional<StoredHead>& based_on,
              const std::string& submitter,
              Callback<std::string> callback);

  void LoadProposal(const std::string& digest,
                    Callback<ConfigProposal> callback);

  /// Makes a proposal the head, by compare-and-swap. Repeating it is harmless.
  /// A lost reply is resolved by reading the head for the own record; while the
  /// head has not moved, the same write is repeated, which also keeps the lost
  /// one from taking effect later. Errors: kConflict when the head is not the
  /// one that the proposal is based on (the proposal stays stored);
  /// kInvalidArgument when a document has a fault; kUnknownEffect when the
  /// store did not say within the time limit whether the write took effect.
  void Approve(const std::string& proposal_digest,
               const std::string& approver,
               Callback<Approval> callback);

  /// The newest `limit` records, oldest first; `VerifyHeadChain` checks them.
  void History(std::size_t limit, Callback<std::vector<ConfigHead>> callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_STORE_H_
