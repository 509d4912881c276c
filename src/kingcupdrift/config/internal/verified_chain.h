#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "kingcupdrift/config/config_head.h"

namespace kingcupdrift::internal {

/// The newest head records, each checked against the one before it. The first
/// record ever accepted is the anchor; older records are dropped when the chain
/// is longer than its limit.
class VerifiedChain {
 public:
  explicit VerifiedChain(std::size_t max_records) : max_records_(max_records) {}

  bool empty() const { return records_.empty(); }
  /// Generation of the newest record; 0 when empty.
  Generation tail() const;

  /// Adds the next record, or confirms one that is here. Errors: kProtocol when
  /// it does not connect.
  Result<void> Accept(const ConfigHead& record);
  /// Null when it was dropped or never accepted.
  const ConfigHead* Find(Generation generation) const;
  /// Serialized records above `after`, up to and with `last`, oldest first.
  std::vector<std::string> Records(Generation after, Generation last) const;

  std::size_t size() const { return records_.size(); }

 private:
  std::size_t max_records_;
  std::deque<ConfigHead> records_;
  std::string tail_digest_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_VERIFIED_CHAIN_H_
