#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_FETCHER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_FETCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/config/config_head.h"
#include "kingcupdrift/config/internal/config_reader.h"
#include "kingcupdrift/config/internal/retrying_store.h"
#include "kingcupdrift/config/internal/verified_chain.h"

namespace kingcupdrift::internal {

/// Loads from the store what stands between a chain and a newer head: the
/// records between them, one by one, and the documents that differ. What was
/// verified stays in the chain when a fetch fails half way.
class HeadFetcher {
 public:
  /// The documents by digest.
  using DocumentTexts = std::map<std::string, std::string>;
  using Callback = std::function<void(Result<DocumentTexts> texts)>;

  HeadFetcher(PlatformStore& store,
              Clock& clock,
              Random& random,
              Duration limit,
              VerifiedChain& chain)
      : store_(store, clock, random, clock.Now() + limit),
        reader_(store_),
        chain_(chain) {}

  /// Ends with one callback, which may destroy the fetcher.
  void Start(const ConfigHead& target,
             std::vector<std::string> wanted,
             Callback callback);

 private:
  void FetchNextRecord();
  void FetchNextText();
  void Finish(Result<DocumentTexts> result);

  RetryingStore store_;
  ConfigReader reader_;
  VerifiedChain& chain_;
  ConfigHead target_;
  std::vector<std::string> wanted_;
  DocumentTexts document_texts_;
  Callback callback_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_FETCHER_H_
