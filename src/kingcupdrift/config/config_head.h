#ifndef KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_

#include <string>
#include <string_view>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift {

/// The record of one approved configuration, newest or older: a link of the
/// hash chain.
struct ConfigHead {
  Generation generation;
  DocumentDigests documents;
  /// Name of the approving operator, as that operator gave it.
  std::string approver;
  WallTime approved_at{};
  /// Digest of the proposal that was approved.
  std::string proposal;
  /// Digest of the previous generation's record; empty for generation 1.
  std::string previous;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// The canonical JSON text of a record; its SHA-256 is the record's digest.
std::string Serialize(const ConfigHead& head);
std::string HeadDigest(const ConfigHead& head);
/// Parses only the exact text that `Serialize` writes. Errors: kProtocol for
/// any other text, a text above the record size limit, or a generation below 1.
Result<ConfigHead> ParseConfigHead(std::string_view text);

/// Checks that generations rise by one and that each record holds the digest of
/// the previous one. `records` are oldest first. Errors: kProtocol.
Result<void> VerifyHeadChain(const std::vector<ConfigHead>& records);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_HEAD_H_
