#include "kingcupdrift/config/internal/head_fetcher.h"

#include <utility>

namespace kingcupdrift::internal {

void HeadFetcher::Start(const ConfigHead& target,
                        std::vector<std::string> missing_digests,
                        Callback callback) {
  target_ = target;
  missing_digests_ = std::move(missing_digests);
  callback_ = std::move(callback);
  FetchNextRecord();
}

void HeadFetcher::FetchNextRecord() {
  const Generation next = chain_.newest_generation() + Generation(1);
  if (chain_.empty() || next >= target_.generation) {
    if (Result<void> accepted = chain_.Accept(target_); !accepted) {
      Finish(tl::unexpected(accepted.error()));
      return;
    }
    FetchNextText();
    return;
  }
  reader_.LoadRecord(next, [this](Result<ConfigHead> record) {
    if (!record) {
      Finish(tl::unexpected(record.error()));
      return;
    }
    if (Result<void> accepted = chain_.Accept(*record); !accepted) {
      Finish(tl::unexpected(accepted.error()));
      return;
    }
    FetchNextRecord();
  });
}

void HeadFetcher::FetchNextText() {
  if (missing_digests_.empty()) {
    Finish(std::move(document_texts_));
    return;
  }
  const std::string digest = missing_digests_.back();
  missing_digests_.pop_back();
  reader_.LoadBlob(digest, [this, digest](Result<std::string> text) {
    if (!text) {
      Finish(tl::unexpected(text.error()));
      return;
    }
    document_texts_[digest] = std::move(*text);
    FetchNextText();
  });
}

void HeadFetcher::Finish(Result<DocumentTexts> result) {
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace kingcupdrift::internal
