#include "kingcupdrift/config/internal/approve_operation.h"

#include <utility>

#include "kingcupdrift/config/parse_config.h"

namespace kingcupdrift::internal {

ApproveOperation::ApproveOperation(PlatformStore& store,
                                   Clock& clock,
                                   Random& random,
                                   MonotonicTime deadline,
                                   std::string proposal_digest,
                                   std::string approver,
                                   Callback callback)
    : store_(store, clock, random, deadline),
      reader_(store_),
      clock_(clock),
      proposal_digest_(std::move(proposal_digest)),
      approver_(std::move(approver)),
      callback_(std::move(callback)) {}

void ApproveOperation::Start() {
  reader_.LoadProposal(proposal_digest_, [this](Result<ConfigProposal> it) {
    OnProposal(std::move(it));
  });
}

void ApproveOperation::OnProposal(Result<ConfigProposal> proposal) {
  if (!proposal) {
    Fail(std::move(proposal.error()));
    return;
  }
  proposal_ = std::move(*proposal);
  reader_.LoadDocuments(proposal_.documents,
                        [this](Result<ConfigDocuments> documents) {
                          OnDocuments(std::move(documents));
                        });
}

void ApproveOperation::OnDocuments(Result<ConfigDocuments> documents) {
  if (!documents) {
    Fail(std::move(documents.error()));
    return;
  }
  const ConfigErrors errors = ValidateDocuments(*documents);
  if (!errors.empty()) {
    Fail(ToError(errors));
    return;
  }
  ReadHead();
}

void ApproveOperation::ReadHead() {
  reader_.LoadHead([this](Result<std::optional<StoredHead>> head) {
    OnHead(std::move(head));
  });
}

void ApproveOperation::OnHead(Result<std::optional<StoredHead>> head) {
  if (!head) {
    Fail(std::move(head.error()));
    return;
  }
  if (!*head) {
    if (proposal_.based_on.empty()) {
      WriteHead(StoreVersion(0));
    } else {
      FinishWithConflict();
    }
    return;
  }
  if ((*head)->digest == proposal_.based_on) {
    ArchiveHeadRecord(**head);
    return;
  }
  OnHeadMoved(**head);
}

void ApproveOperation::OnHeadMoved(const StoredHead& head) {
  // The head key has a new version, so the compare-and-swap of a delayed write
  // fails.
  is_write_pending_ = false;
  if (head.head.proposal == proposal_digest_) {
    FinishApproved(head.head, head.version);
    return;
  }
  const Generation next = proposal_.based_on_generation + Generation(1);
  if (head.head.generation <= next) {
    FinishWithConflict();
    return;
  }
  // The proposal may have been approved earlier and its head replaced since.
  reader_.LoadRecord(next, [this](Result<ConfigHead> record) {
    OnNextRecord(std::move(record));
  });
}

void ApproveOperation::OnNextRecord(Result<ConfigHead> record) {
  if (!record) {
    Fail(std::move(record.error()));
    return;
  }
  if (record->proposal == proposal_digest_) {
    FinishApproved(std::move(*record), StoreVersion(0));
    return;
  }
  FinishWithConflict();
}

void ApproveOperation::ArchiveHeadRecord(const StoredHead& head) {
  // The record must be stored under its generation before the head is replaced,
  // or the chain would lose it.
  const StoreVersion version = head.version;
  store_.PutIfAbsent(HeadRecordKey(head.head.generation), Serialize(head.head),
                     [this, version](Result<void> kept) {
                       if (!kept) {
                         Fail(std::move(kept.error()));
                         return;
                       }
                       WriteHead(version);
                     });
}

void ApproveOperation::WriteHead(StoreVersion expected) {
  if (!record_) {
    record_.emplace();
    record_->generation = proposal_.based_on_generation + Generation(1);
    record_->documents = proposal_.documents;
    record_->approver = approver_;
    record_->approved_at = clock_.WallNow();
    record_->proposal = proposal_digest_;
    record_->previous = proposal_.based_on;
  }
  store_.CompareAndSwap(
      kConfigHeadKey, expected, Serialize(*record_),
      [this](Result<StoreVersion> written) { OnWritten(std::move(written)); });
}

void ApproveOperation::OnWritten(Result<StoreVersion> written) {
  if (written) {
    FinishApproved(*record_, *written);
    return;
  }
  const ErrorCode code = written.error().code;
  if (code == ErrorCode::kConflict) {
    ReadHead();
    return;
  }
  if (!IsTransient(code)) {
    Fail(std::move(written.error()));
    return;
  }
  if (code != ErrorCode::kUnavailable && code != ErrorCode::kOverloaded) {
    is_write_pending_ = true;
  }
  store_.RunAfterBackoff(written.error(), [this](Result<void> waited) {
    if (!waited) {
      Fail(std::move(waited.error()));
      return;
    }
    ReadHead();
  });
}

void ApproveOperation::FinishWithConflict() {
  const auto callback = std::move(callback_);
  callback(MakeError(ErrorCode::kConflict,
                     "the head is not the one that the proposal is based on"));
}

void ApproveOperation::FinishApproved(ConfigHead head, StoreVersion version) {
  Approval approval;
  approval.was_already_approved = !record_ || head != *record_;
  approval.head.digest = HeadDigest(head);
  approval.head.head = std::move(head);
  approval.head.version = version;
  const auto callback = std::move(callback_);
  callback(std::move(approval));
}

void ApproveOperation::Fail(Error error) {
  if (is_write_pending_) {
    error.code = ErrorCode::kUnknownEffect;
  }
  const auto callback = std::move(callback_);
  callback(tl::unexpected(std::move(error)));
}

}  // namespace kingcupdrift::internal
