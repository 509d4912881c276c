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

// Keys of the configuration in the platform's store.

/// Newest approved head record.
inline constexpr char kConfigHeadKey[] = "/kingcupdrift/config/head";
/// Followed by a generation: head record of an earlier generation, written just
/// before the head key is replaced.
inline constexpr char kConfigHeadRecordPrefix[] = "/kingcupdrift/config/heads/";
/// Followed by a SHA-256: text of the document with that digest.
inline constexpr char kConfigBlobPrefix[] = "/kingcupdrift/config/blob/";
/// Followed by a proposal digest: JSON text of the proposal.
inline constexpr char kConfigProposalPrefix[] =
    "/kingcupdrift/config/proposal/";

/// The newest head record as read from the store.
struct StoredHead {
  ConfigHead head;
  std::string digest;
  /// Version of the head key, for compare-and-swap.
  StoreVersion version;
};

/// Result of an approval that took effect.
struct Approval {
  /// The record that the approval made. Its version is 0 when later approvals
  /// replaced it as the head.
  StoredHead head;
  /// True when another call, earlier or concurrent, made the approval.
  bool was_already_approved = false;
};

/// Reads and changes the approved configuration. Calls are asynchronous and
/// retry store faults until `time_limit` after their start. The limit is
/// checked after each store fault; it does not cut off a store operation that
/// is still running. Each call ends with exactly one callback and keeps no
/// state after it. Destroying the object drops running calls without a
/// callback. Unless stated otherwise, a call also fails with kDeadlineExceeded
/// when its time limit passes, and with kProtocol when stored data is
/// malformed.
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

  /// Loads the newest approved head; empty before the first approval.
  void LoadHead(Callback<std::optional<StoredHead>> callback);

  /// Loads documents and checks each against its digest. Errors: kNotFound when
  /// a document is absent; kProtocol when the stored text does not match.
  void LoadDocuments(const DocumentDigests& digests,
                     Callback<ConfigDocuments> callback);

  /// Stores the documents and a proposal based on `based_on`, the head that the
  /// documents were written against. Returns the proposal's digest. The digest
  /// covers the time of submission, so a repeated call stores one more proposal
  /// under another digest and leaves the first as it is. Errors:
  /// kInvalidArgument when a document has a fault or `submitter` is not a valid
  /// operator's name.
  void Submit(const ConfigDocuments& documents,
              const std::optional<StoredHead>& based_on,
              const std::string& submitter,
              Callback<std::string> callback);

  /// Errors: kNotFound when the proposal is absent; kProtocol when the stored
  /// text does not match its digest or is malformed.
  void LoadProposal(const std::string& digest,
                    Callback<ConfigProposal> callback);

  /// Makes a proposal the head, by compare-and-swap. Idempotent: approving an
  /// approved proposal succeeds. If the reply to the write is lost, the head is
  /// read: if it holds this proposal's record, the approval took effect; if it
  /// is unchanged, the same write is retried. A write that arrives late cannot
  /// take effect twice, since the head's version has changed by then and the
  /// compare-and-swap fails. Errors: kConflict when the head is not the one
  /// that the proposal is based on (the proposal stays stored);
  /// kInvalidArgument when a document has a fault or `approver` is not a valid
  /// operator's name; kNotFound when the proposal, a document or a head record
  /// is absent; kDeadlineExceeded when the time limit passes;
  /// kProtocol when stored data is malformed; kUnknownEffect in place of any
  /// error but kConflict while a write that was sent may still take effect.
  void Approve(const std::string& proposal_digest,
               const std::string& approver,
               Callback<Approval> callback);

  /// Loads the newest `limit` head records, oldest first; at least one if there
  /// is a head, even for `limit` 0. The chain is not verified: callers pass the
  /// records to `VerifyHeadChain`. Errors: kNotFound when a record is absent.
  void History(std::size_t limit, Callback<std::vector<ConfigHead>> callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_STORE_H_
