#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift {

std::size_t TotalBytes(const ConfigDocuments& documents) {
  std::size_t n = documents.base.size();
  for (const auto& [site, text] : documents.overlays) {
    n += text.size();
  }
  return n;
}

DocumentDigests DigestDocuments(const ConfigDocuments& documents) {
  DocumentDigests out;
  out.base = ComputeSha256Hex(documents.base);
  for (const auto& [site, text] : documents.overlays) {
    out.overlays[site] = ComputeSha256Hex(text);
  }
  return out;
}

}  // namespace kingcupdrift
