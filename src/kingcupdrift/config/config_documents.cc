#include "kingcupdrift/config/config_documents.h"

namespace kingcupdrift {

DocumentDigests DigestDocuments(const ConfigDocuments& documents) {
  DocumentDigests out;
  out.base = Sha256Hex(documents.base);
  for (const auto& [site, text] : documents.overlays) {
    out.overlays[site] = Sha256Hex(text);
  }
  return out;
}

}  // namespace kingcupdrift
