#include "kingcupdrift/config/internal/config_reader.h"

#include <utility>

namespace kingcupdrift::internal {

std::string HeadRecordKey(Generation generation) {
  return fmt::format("{}{}", kConfigHeadRecordPrefix, generation.value());
}

Result<StoredHead> ParseStoredHead(const StoreValue& stored) {
  Result<ConfigHead> head = ParseConfigHead(stored.value);
  if (!head) {
    return tl::unexpected(head.error());
  }
  return StoredHead{std::move(*head), ComputeSha256Hex(stored.value),
                    stored.version};
}

void ConfigReader::LoadHead(Callback<std::optional<StoredHead>> callback) {
  store_.Get(kConfigHeadKey, [callback = std::move(callback)](
                                 Result<std::optional<StoreValue>> value) {
    if (!value) {
      callback(tl::unexpected(value.error()));
      return;
    }
    if (!*value) {
      callback(std::optional<StoredHead>());
      return;
    }
    Result<StoredHead> head = ParseStoredHead(**value);
    if (!head) {
      callback(tl::unexpected(head.error()));
      return;
    }
    callback(std::optional<StoredHead>(std::move(*head)));
  });
}

void ConfigReader::LoadRecord(Generation generation,
                              Callback<ConfigHead> callback) {
  store_.Get(
      HeadRecordKey(generation), [generation, callback = std::move(callback)](
                                     Result<std::optional<StoreValue>> value) {
        if (!value) {
          callback(tl::unexpected(value.error()));
          return;
        }
        if (!*value) {
          callback(MakeError(ErrorCode::kNotFound,
                             fmt::format("no head record of generation {}",
                                         generation.value())));
          return;
        }
        callback(ParseConfigHead((*value)->value));
      });
}

void ConfigReader::LoadProposal(const std::string& digest,
                                Callback<ConfigProposal> callback) {
  LoadDigested(kConfigProposalPrefix, digest,
               [callback = std::move(callback)](Result<std::string> text) {
                 if (!text) {
                   callback(tl::unexpected(text.error()));
                   return;
                 }
                 callback(ParseConfigProposal(*text));
               });
}

void ConfigReader::LoadBlob(const std::string& digest,
                            Callback<std::string> callback) {
  LoadDigested(kConfigBlobPrefix, digest, std::move(callback));
}

void ConfigReader::LoadDigested(const std::string& prefix,
                                const std::string& digest,
                                Callback<std::string> callback) {
  store_.Get(prefix + digest, [digest, callback = std::move(callback)](
                                  Result<std::optional<StoreValue>> value) {
    if (!value) {
      callback(tl::unexpected(value.error()));
      return;
    }
    if (!*value) {
      callback(
          MakeError(ErrorCode::kNotFound,
                    fmt::format("no text with digest {} is stored", digest)));
      return;
    }
    if (ComputeSha256Hex((*value)->value) != digest) {
      callback(MakeError(ErrorCode::kProtocol,
                         fmt::format("the text stored under digest {} has "
                                     "another digest",
                                     digest)));
      return;
    }
    callback(std::move((*value)->value));
  });
}

void ConfigReader::LoadDocuments(const DocumentDigests& digests,
                                 Callback<ConfigDocuments> callback) {
  loaded_ = {};
  documents_callback_ = std::move(callback);
  wanted_.clear();
  for (const auto& [site, digest] : digests.overlays) {
    wanted_.push_back({site, digest});
  }
  wanted_.push_back({SiteId(), digests.base});
  LoadNextDocument();
}

void ConfigReader::LoadNextDocument() {
  if (wanted_.empty()) {
    const auto callback = std::move(documents_callback_);
    callback(std::move(loaded_));
    return;
  }
  const Wanted next = wanted_.back();
  wanted_.pop_back();
  LoadBlob(next.digest, [this, next](Result<std::string> text) {
    if (!text) {
      const auto callback = std::move(documents_callback_);
      callback(tl::unexpected(text.error()));
      return;
    }
    std::string& target =
        next.site.empty() ? loaded_.base : loaded_.overlays[next.site];
    target = std::move(*text);
    LoadNextDocument();
  });
}

}  // namespace kingcupdrift::internal
