#include "kingcupdrift/config/config_store.h"

#include <cstdint>
#include <map>
#include <utility>

#include "kingcupdrift/config/internal/approve_operation.h"
#include "kingcupdrift/config/internal/config_reader.h"
#include "kingcupdrift/config/internal/retrying_store.h"
#include "kingcupdrift/config/parse_config.h"

namespace kingcupdrift {
namespace {

using internal::ConfigReader;
using internal::RetryingStore;

}  // namespace

class ConfigStore::Impl {
 public:
  Impl(PlatformStore& store, Clock& clock, Random& random, Duration time_limit)
      : store_(store), clock_(clock), random_(random), limit_(time_limit) {}

  /// One running call. It is removed before its callback runs, so that the
  /// callback may destroy the store.
  struct Call {
    explicit Call(Impl& impl)
        : store(impl.store_,
                impl.clock_,
                impl.random_,
                impl.clock_.Now() + impl.limit_),
          reader(store) {}

    RetryingStore store;
    ConfigReader reader;
    /// Keys and values that a submission has not yet written, last one first.
    std::vector<std::pair<std::string, std::string>> writes;
    /// Head records that a History call has read, newest first.
    std::vector<ConfigHead> records;
    std::unique_ptr<internal::ApproveOperation> approve;
  };

  std::uint64_t StartCall() {
    const std::uint64_t id = next_call_++;
    calls_.emplace(id, std::make_unique<Call>(*this));
    return id;
  }

  Call& CallOf(std::uint64_t id) { return *calls_.at(id); }

  /// Returns a callback that removes the call and then runs `callback`.
  template <typename T>
  Callback<T> MakeEndingCallback(std::uint64_t id, Callback<T> callback) {
    return [this, id, callback = std::move(callback)](Result<T> result) {
      const Callback<T> last = callback;
      calls_.erase(id);
      last(std::move(result));
    };
  }

  void WriteNext(std::uint64_t id,
                 const std::string& digest,
                 const Callback<std::string>& end) {
    Call& call = CallOf(id);
    if (call.writes.empty()) {
      end(digest);
      return;
    }
    const auto [key, value] = std::move(call.writes.back());
    call.writes.pop_back();
    call.store.PutIfAbsent(key, value,
                           [this, id, digest, end](Result<void> done) {
                             if (!done) {
                               end(tl::unexpected(done.error()));
                               return;
                             }
                             WriteNext(id, digest, end);
                           });
  }

  void ReadOlder(std::uint64_t id,
                 std::size_t limit,
                 const Callback<std::vector<ConfigHead>>& end) {
    Call& call = CallOf(id);
    const Generation oldest = call.records.back().generation;
    if (call.records.size() >= limit || oldest == Generation(1)) {
      end(std::vector<ConfigHead>(call.records.rbegin(), call.records.rend()));
      return;
    }
    call.reader.LoadRecord(oldest - Generation(1),
                           [this, id, limit, end](Result<ConfigHead> record) {
                             if (!record) {
                               end(tl::unexpected(record.error()));
                               return;
                             }
                             CallOf(id).records.push_back(std::move(*record));
                             ReadOlder(id, limit, end);
                           });
  }

  void Approve(std::uint64_t id,
               const std::string& proposal_digest,
               const std::string& approver,
               Callback<Approval> end) {
    Call& call = CallOf(id);
    call.approve = std::make_unique<internal::ApproveOperation>(
        store_, clock_, random_, clock_.Now() + limit_, proposal_digest,
        approver, std::move(end));
    call.approve->Start();
  }

  WallTime WallNow() const { return clock_.WallNow(); }

  /// Reports an input error from a timer, so that the callback never runs
  /// inside the caller's call.
  template <typename T>
  void FailLater(std::uint64_t id, Error error, Callback<T> end) {
    pending_failures_[id] =
        clock_.RunAfter(Duration(0), [this, id, error = std::move(error), end] {
          pending_failures_.erase(id);
          end(tl::unexpected(error));
        });
  }

 private:
  PlatformStore& store_;
  Clock& clock_;
  Random& random_;
  Duration limit_;
  std::uint64_t next_call_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
  std::map<std::uint64_t, std::unique_ptr<Timer>> pending_failures_;
};

ConfigStore::ConfigStore(PlatformStore& store,
                         Clock& clock,
                         Random& random,
                         Duration time_limit)
    : impl_(std::make_unique<Impl>(store, clock, random, time_limit)) {}

ConfigStore::~ConfigStore() = default;

void ConfigStore::LoadHead(Callback<std::optional<StoredHead>> callback) {
  const std::uint64_t id = impl_->StartCall();
  impl_->CallOf(id).reader.LoadHead(
      impl_->MakeEndingCallback(id, std::move(callback)));
}

void ConfigStore::LoadDocuments(const DocumentDigests& digests,
                                Callback<ConfigDocuments> callback) {
  const std::uint64_t id = impl_->StartCall();
  impl_->CallOf(id).reader.LoadDocuments(
      digests, impl_->MakeEndingCallback(id, std::move(callback)));
}

void ConfigStore::Submit(const ConfigDocuments& documents,
                         const std::optional<StoredHead>& based_on,
                         const std::string& submitter,
                         Callback<std::string> callback) {
  const std::uint64_t id = impl_->StartCall();
  const auto end = impl_->MakeEndingCallback(id, std::move(callback));
  const ConfigErrors errors = ValidateDocuments(documents);
  if (!errors.empty()) {
    impl_->FailLater(id, ToError(errors), end);
    return;
  }
  if (!IsOperatorName(submitter)) {
    impl_->FailLater(
        id,
        {ErrorCode::kInvalidArgument,
         "submitter: a name must be 1 to 128 bytes without control characters"},
        end);
    return;
  }
  ConfigProposal proposal;
  proposal.documents = DigestDocuments(documents);
  if (based_on) {
    proposal.based_on = based_on->digest;
    proposal.based_on_generation = based_on->head.generation;
  }
  proposal.submitter = submitter;
  proposal.submitted_at = impl_->WallNow();
  const std::string digest = ProposalDigest(proposal);
  auto& writes = impl_->CallOf(id).writes;
  // WriteNext takes from the back, so the proposal is written after its
  // documents.
  writes.emplace_back(kConfigProposalPrefix + digest, Serialize(proposal));
  writes.emplace_back(kConfigBlobPrefix + proposal.documents.base,
                      documents.base);
  for (const auto& [site, text] : documents.overlays) {
    writes.emplace_back(
        kConfigBlobPrefix + proposal.documents.overlays.at(site), text);
  }
  impl_->WriteNext(id, digest, end);
}

void ConfigStore::LoadProposal(const std::string& digest,
                               Callback<ConfigProposal> callback) {
  const std::uint64_t id = impl_->StartCall();
  impl_->CallOf(id).reader.LoadProposal(
      digest, impl_->MakeEndingCallback(id, std::move(callback)));
}

void ConfigStore::Approve(const std::string& proposal_digest,
                          const std::string& approver,
                          Callback<Approval> callback) {
  const std::uint64_t id = impl_->StartCall();
  auto end = impl_->MakeEndingCallback(id, std::move(callback));
  if (!IsOperatorName(approver)) {
    impl_->FailLater(
        id,
        {ErrorCode::kInvalidArgument,
         "approver: a name must be 1 to 128 bytes without control characters"},
        end);
    return;
  }
  impl_->Approve(id, proposal_digest, approver, std::move(end));
}

void ConfigStore::History(std::size_t limit,
                          Callback<std::vector<ConfigHead>> callback) {
  const std::uint64_t id = impl_->StartCall();
  const auto end = impl_->MakeEndingCallback(id, std::move(callback));
  impl_->CallOf(id).reader.LoadHead(
      [this, id, limit, end](Result<std::optional<StoredHead>> head) {
        if (!head) {
          end(tl::unexpected(head.error()));
          return;
        }
        if (!*head) {
          end(std::vector<ConfigHead>());
          return;
        }
        impl_->CallOf(id).records.push_back(std::move((*head)->head));
        impl_->ReadOlder(id, limit, end);
      });
}

}  // namespace kingcupdrift
