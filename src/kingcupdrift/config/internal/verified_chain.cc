#include "kingcupdrift/config/internal/verified_chain.h"

#include <algorithm>

namespace kingcupdrift::internal {

Generation VerifiedChain::newest_generation() const {
  return records_.empty() ? Generation(0) : records_.back().generation;
}

Result<void> VerifiedChain::Accept(const ConfigHead& record) {
  if (!records_.empty() && record.generation <= newest_generation()) {
    const ConfigHead* known = Find(record.generation);
    if (known == nullptr || *known != record) {
      return MakeError(ErrorCode::kProtocol,
                       fmt::format("generation {} is older than the records "
                                   "kept, or its record differs from the one "
                                   "accepted before",
                                   record.generation.value()));
    }
    return {};
  }
  const bool is_linked =
      records_.empty() ||
      (record.generation == newest_generation() + Generation(1) &&
       record.previous == newest_digest_);
  if (!is_linked) {
    return MakeError(
        ErrorCode::kProtocol,
        fmt::format("generation {} does not follow generation {}",
                    record.generation.value(), newest_generation().value()));
  }
  records_.push_back(record);
  newest_digest_ = HeadDigest(record);
  if (records_.size() > max_records_) {
    records_.pop_front();
  }
  return {};
}

const ConfigHead* VerifiedChain::Find(Generation generation) const {
  if (records_.empty() || generation < records_.front().generation ||
      generation > newest_generation()) {
    return nullptr;
  }
  const auto i = (generation - records_.front().generation).value();
  return &records_[static_cast<std::size_t>(i)];
}

std::vector<std::string> VerifiedChain::Records(Generation after,
                                                Generation last) const {
  std::vector<std::string> out;
  for (const ConfigHead& it : records_) {
    if (it.generation > after && it.generation <= last) {
      out.push_back(Serialize(it));
    }
  }
  return out;
}

}  // namespace kingcupdrift::internal
