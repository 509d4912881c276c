#ifndef KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_

#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift {

/// One approved configuration: a link of the hash chain.
struct ConfigHead {
  Generation generation;
  DocumentDigests documents;
  /// Who approved it, as they named themselves.
  std::string approver;
  WallTime approved_at{};
  /// Digest of the proposal that was approved.
  std::string proposal;
  /// Digest of the head before it; empty for generation 1.
  std::string previous;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// The one JSON text of a record; its SHA-256 is the record's digest.
std::string Serialize(const ConfigHead& head);
std::string HeadDigest(const ConfigHead& head);
/// Refuses anything but the exact text that `Serialize` writes.
Result<ConfigHead> ParseConfigHead(std::string_view text);

/// Checks that generations rise by one and that each record names the digest of
/// the one before it. `records` are oldest first. Errors: kProtocol.
Result<void> VerifyHeadChain(const std::vector<ConfigHead>& records);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_
