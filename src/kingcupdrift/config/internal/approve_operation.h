#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_

#include <optional>
#include <string>

#include "kingcupdrift/config/config_store.h"
#include "kingcupdrift/config/internal/config_reader.h"
#include "kingcupdrift/config/internal/retrying_store.h"

namespace kingcupdrift::internal {

/// Approves one proposal: checks it, then repeats the compare-and-swap of the
/// head until the outcome is certain or the deadline passes. Ends with exactly
/// one callback, which may destroy the object.
class ApproveOperation {
 public:
  using Callback = std::function<void(Result<Approval>)>;

  ApproveOperation(PlatformStore& store,
                   Clock& clock,
                   Random& random,
                   MonotonicTime deadline,
                   std::string proposal_digest,
                   std::string approver,
                   Callback callback);

  void Start();

 private:
  void OnProposal(Result<ConfigProposal> proposal);
  void OnDocuments(Result<ConfigDocuments> documents);
  /// Reads the head, which shows that the proposal is approved, that it is in
  /// conflict with another approval, or that the head is still to be written.
  void ReadHead();
  void OnHead(Result<std::optional<StoredHead>> head);
  void OnHeadMoved(const StoredHead& head);
  void OnNextRecord(Result<ConfigHead> record);
  /// Writes the current head's record under its generation, then the new head.
  void ArchiveHeadRecord(const StoredHead& head);
  void WriteHead(StoreVersion expected);
  void OnWritten(Result<StoreVersion> written);
  void FinishWithConflict();
  void FinishApproved(ConfigHead head, StoreVersion version);
  /// Ends with `error`; its code becomes kUnknownEffect if a write may still
  /// take effect.
  void Fail(Error error);

  RetryingStore store_;
  ConfigReader reader_;
  Clock& clock_;
  std::string proposal_digest_;
  std::string approver_;
  Callback callback_;
  ConfigProposal proposal_;
  /// The new head record, built once so that every repeated write has the same
  /// text.
  std::optional<ConfigHead> record_;
  /// True while a write was sent whose effect is not known.
  bool is_write_pending_ = false;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_
