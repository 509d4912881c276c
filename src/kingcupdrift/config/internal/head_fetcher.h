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

/// Loads from the store the records between the newest record of a chain and a
/// target head, one by one, and then the documents with the given digests. An
/// empty chain accepts the target without a check. If a fetch fails, the
/// records verified so far stay in the chain. With a target that is already in
/// the chain, only the documents are loaded.
class HeadFetcher {
 public:
  /// Texts of documents by digest.
  using DocumentTexts = std::map<std::string, std::string>;
  using Callback = std::function<void(Result<DocumentTexts> texts)>;

  HeadFetcher(PlatformStore& store,
              Clock& clock,
              Random& random,
              Duration timeout,
              VerifiedChain& chain)
      : store_(store, clock, random, clock.Now() + timeout),
        reader_(store_),
        chain_(chain) {}

  /// Loads the records up to `target` and the documents with the digests
  /// `missing_digests`. Ends with one callback, which may destroy the fetcher.
  void Start(const ConfigHead& target,
             std::vector<std::string> missing_digests,
             Callback callback);

 private:
  void FetchNextRecord();
  void FetchNextText();
  void Finish(Result<DocumentTexts> result);

  RetryingStore store_;
  ConfigReader reader_;
  VerifiedChain& chain_;
  ConfigHead target_;
  std::vector<std::string> missing_digests_;
  DocumentTexts document_texts_;
  Callback callback_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_HEAD_FETCHER_H_
