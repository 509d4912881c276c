#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "kingcupdrift/config/config_head.h"

namespace kingcupdrift::internal {

/// The newest head records, each checked against the previous one. The first
/// record is accepted without a check. When the chain is longer than its limit,
/// the oldest record is dropped.
class VerifiedChain {
 public:
  explicit VerifiedChain(std::size_t max_records) : max_records_(max_records) {}

  bool empty() const { return records_.empty(); }
  /// Generation of the newest record; 0 when empty.
  Generation newest_generation() const;

  /// Adds the next record, or confirms one that is kept. Errors: kProtocol when
  /// the record does not connect, differs from the kept one, or is older than
  /// the records kept.
  Result<void> Accept(const ConfigHead& record);
  /// Null when the record was dropped or never accepted. Valid until the next
  /// Accept.
  const ConfigHead* Find(Generation generation) const;
  /// Serialized records kept above `after`, up to and including `last`, oldest
  /// first.
  std::vector<std::string> Records(Generation after, Generation last) const;

  std::size_t size() const { return records_.size(); }

 private:
  std::size_t max_records_;
  std::deque<ConfigHead> records_;
  std::string newest_digest_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_
