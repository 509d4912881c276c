#ifndef KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_

#include <cstddef>
#include <map>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Largest configuration document in bytes; the platform's store accepts values
/// of at most a megabyte.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;
/// Largest size of all documents together in bytes, so that they fit into one
/// peer message.
inline constexpr std::size_t kMaxTotalBytes = 3'000'000;
/// Largest number of sites that the base may define.
inline constexpr std::size_t kMaxSites = 32;

/// The text of the operators' TOML files: one base and an overlay per site. The
/// overlay of a site changes the base's options there.
struct ConfigDocuments {
  std::string base;
  std::map<SiteId, std::string> overlays;

  friend bool operator==(const ConfigDocuments&,
                         const ConfigDocuments&) = default;
};

/// SHA-256 of each document, in lower-case hexadecimal.
struct DocumentDigests {
  std::string base;
  std::map<SiteId, std::string> overlays;

  friend bool operator==(const DocumentDigests&,
                         const DocumentDigests&) = default;
};

/// Size of all documents together in bytes.
std::size_t TotalBytes(const ConfigDocuments& documents);
DocumentDigests DigestDocuments(const ConfigDocuments& documents);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_
