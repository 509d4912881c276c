#ifndef KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_
#define KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_

#include <cstddef>
#include <map>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Largest configuration document in bytes; the platform's store holds values
/// up to a megabyte.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;
/// Largest sum of all documents in bytes, so that one peer message carries
/// them.
inline constexpr std::size_t kMaxTotalBytes = 3'000'000;
/// Largest number of sites.
inline constexpr std::size_t kMaxSites = 32;

/// The operators' files: one base and an overlay for each site.
struct ConfigDocuments {
  std::string base;
  std::map<SiteId, std::string> overlays;

  friend bool operator==(const ConfigDocuments&,
                         const ConfigDocuments&) = default;
};

/// SHA-256 of each document, in hexadecimal.
struct DocumentDigests {
  std::string base;
  std::map<SiteId, std::string> overlays;

  friend bool operator==(const DocumentDigests&,
                         const DocumentDigests&) = default;
};

std::size_t TotalBytes(const ConfigDocuments& documents);
DocumentDigests DigestDocuments(const ConfigDocuments& documents);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_CONFIG_CONFIG_DOCUMENTS_H_
