#ifndef KINGCUPDRIFT_CONFIG_CONFIG_PROPOSAL_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_PROPOSAL_H_

#include <string>
#include <string_view>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift {

/// A submission: digests of the submitted documents. The store keeps it after
/// its approval or conflict too.
struct ConfigProposal {
  DocumentDigests documents;
  /// Digest and generation of the head that the documents were written against;
  /// empty and 0 before the first approval.
  std::string based_on;
  Generation based_on_generation;
  std::string submitter;
  WallTime submitted_at{};

  friend bool operator==(const ConfigProposal&,
                         const ConfigProposal&) = default;
};

/// The canonical JSON text of a proposal; its SHA-256 is the proposal's digest.
std::string Serialize(const ConfigProposal& proposal);
std::string ProposalDigest(const ConfigProposal& proposal);
/// Parses only the exact text that `Serialize` writes. Errors: kProtocol.
Result<ConfigProposal> ParseConfigProposal(std::string_view text);

/// True for a valid operator's name: 1 to 128 bytes without control characters.
bool IsOperatorName(std::string_view name);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_PROPOSAL_H_
