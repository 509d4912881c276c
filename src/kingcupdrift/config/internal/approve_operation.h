#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_

#include <optional>
#include <string>

#include "kingcupdrift/config/config_store.h"
#include "kingcupdrift/config/internal/config_reader.h"
#include "kingcupdrift/config/internal/retrying_store.h"

namespace kingcupdrift::internal {

/// One approval: checks the proposal, then changes the head until the outcome
/// is certain or the deadline passes.
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
  /// Reads the head and decides from it: done, lost to another, or write.
  void ReadHead();
  void OnHead(Result<std::optional<StoredHead>> head);
  void OnHeadMoved(const StoredHead& head);
  void OnNextRecord(Result<ConfigHead> record);
  void ArchiveHeadRecord(const StoredHead& head);
  void WriteHead(StoreVersion expected);
  void OnWritten(Result<StoreVersion> written);
  void FinishWithConflict();
  void FinishApproved(ConfigHead head, StoreVersion version);
  /// Ends with `error`, or with kUnknownEffect when a write may be pending.
  void Fail(Error error);

  RetryingStore store_;
  ConfigReader reader_;
  Clock& clock_;
  std::string proposal_digest_;
  std::string approver_;
  Callback callback_;
  ConfigProposal proposal_;
  /// Built once, so that every repeated write is the same.
  std::optional<ConfigHead> record_;
  /// A write was sent whose effect is not known.
  bool is_write_pending_ = false;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_APPROVE_OPERATION_H_
