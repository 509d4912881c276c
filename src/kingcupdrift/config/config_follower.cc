#include "kingcupdrift/config/config_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "kingcupdrift/config/internal/head_fetcher.h"
#include "kingcupdrift/config/internal/head_watcher.h"
#include "kingcupdrift/config/internal/peer_request_scheduler.h"
#include "kingcupdrift/config/internal/verified_chain.h"
#include "kingcupdrift/config/parse_config.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {
namespace {

constexpr Logger kLog("config");
constexpr char kBaseName[] = "base";
/// For this long after a generation was applied, an older head from the store
/// counts as a late reply to an earlier read and not as a fault.
constexpr Duration kStaleReadLimit = std::chrono::seconds(10);

using DocumentTexts = internal::HeadFetcher::DocumentTexts;

bool ContainsDigest(const DocumentDigests& documents,
                    const std::string& digest) {
  return documents.base == digest ||
         std::any_of(documents.overlays.begin(), documents.overlays.end(),
                     [&digest](const auto& it) { return it.second == digest; });
}

}  // namespace

class ConfigFollower::Impl {
 public:
  Impl(const SiteId& site,
       Clock& clock,
       Random& random,
       PlatformStore& store,
       SendConfigRequest send_config_request,
       const ConfigFollowerOptions& options)
      : site_(site),
        clock_(clock),
        random_(random),
        store_(store),
        send_config_request_(std::move(send_config_request)),
        options_(options),
        chain_(options.max_records),
        watcher_(store,
                 clock,
                 random,
                 options_,
                 counts_,
                 [this](const StoredHead& head) { OnStoreHead(head); }),
        peer_requests_(
            clock,
            random,
            options.peer_request_interval,
            [this](const Endpoint& peer) { RequestConfigFrom(peer); }),
        repeated_log_("config", clock) {}

  void Start() { watcher_.Start(); }

  void OnPeerHead(Generation generation,
                  const std::string& digest,
                  const Endpoint& peer) {
    if (generation > this->generation()) {
      peer_requests_.Add(generation, peer);
    } else if (generation == this->generation() && current_ &&
               digest != digest_) {
      Reject(
          {ErrorCode::kProtocol,
           fmt::format("peer {} reports generation {} with a different digest",
                       ToString(peer), generation.value())});
    }
  }

  ConfigReplyMessage BuildConfigReply(
      const ConfigRequestMessage& request) const;
  void OnConfigReply(const ConfigReplyMessage& reply);

  Generation generation() const {
    return current_ ? current_->generation : Generation(0);
  }

  const SiteConfig* current() const { return current_ ? &*current_ : nullptr; }
  const std::string& digest() const { return digest_; }
  WallTime in_force_since() const { return in_force_since_; }
  const ConfigFollowerCounts& counts() const { return counts_; }
  AppliedSignal& signal_applied() { return signal_applied_; }

 private:
  void RequestConfigFrom(const Endpoint& peer) {
    ++counts_.peer_requests;
    send_config_request_(peer, ConfigRequestMessage{generation()});
  }

  void OnStoreHead(const StoredHead& head);
  void StartFetch(const ConfigHead& target);
  void OnFetched(const ConfigHead& target, Result<DocumentTexts> texts);
  /// Digests of the base and of this site's overlay, without those whose
  /// documents are held.
  std::vector<std::string> FindMissingSiteDigests(const ConfigHead& head) const;
  /// Digests of all sites' documents, without those whose documents are held.
  std::vector<std::string> FindMissingDigests(const ConfigHead& head) const;
  /// Counts and logs a head or a peer's reply that is not applied.
  void Reject(const Error& error);
  /// Puts `head` in force if its documents are valid. Fetches them from the
  /// store if one of this site's is missing.
  void Apply(const ConfigHead& head, DocumentTexts texts);

  SiteId site_;
  Clock& clock_;
  Random& random_;
  PlatformStore& store_;
  SendConfigRequest send_config_request_;
  ConfigFollowerOptions options_;
  ConfigFollowerCounts counts_;
  internal::VerifiedChain chain_;
  internal::HeadWatcher watcher_;
  internal::PeerRequestScheduler peer_requests_;
  std::unique_ptr<internal::HeadFetcher> fetcher_;
  /// Target of the running fetch.
  Generation fetch_generation_;
  /// Newest generation whose documents this program found invalid; the store's
  /// heads up to it are not fetched again.
  Generation newest_invalid_generation_;
  std::optional<SiteConfig> current_;
  std::string digest_;
  WallTime in_force_since_{};
  MonotonicTime applied_at_{};
  /// Documents of the head in force, by digest.
  DocumentTexts document_texts_;
  AppliedSignal signal_applied_;
  RateLimitedLogger repeated_log_;
};

ConfigReplyMessage ConfigFollower::Impl::BuildConfigReply(
    const ConfigRequestMessage& request) const {
  ConfigReplyMessage reply;
  if (!current_ || request.generation >= generation()) {
    return reply;
  }
  const ConfigHead* head = chain_.Find(generation());
  const ConfigHead* theirs = chain_.Find(request.generation);
  const bool is_new_peer = request.generation == Generation(0);
  if (head == nullptr || (theirs == nullptr && !is_new_peer)) {
    // The peer's record is no longer kept here, so the chain from it to the
    // newest record cannot be sent.
    return reply;
  }
  // A peer without a configuration accepts any record as the start of its
  // chain, so the newest one suffices.
  const Generation after =
      is_new_peer ? generation() - Generation(1) : request.generation;
  reply.head_records = chain_.Records(after, generation());
  const auto add = [&](const std::string& name, const std::string& digest,
                       bool is_known) {
    const auto it = document_texts_.find(digest);
    if (!is_known && it != document_texts_.end()) {
      reply.documents.push_back({name, it->second});
    }
  };
  add(kBaseName, head->documents.base,
      theirs != nullptr && theirs->documents.base == head->documents.base);
  for (const auto& [site, digest] : head->documents.overlays) {
    const bool is_known = theirs != nullptr &&
                          theirs->documents.overlays.contains(site) &&
                          theirs->documents.overlays.at(site) == digest;
    add(site.value(), digest, is_known);
  }
  return reply;
}

void ConfigFollower::Impl::OnConfigReply(const ConfigReplyMessage& reply) {
  if (reply.head_records.empty()) {
    peer_requests_.OnReplyRejected();
    return;
  }
  if (reply.head_records.size() > options_.max_records ||
      reply.documents.size() > kMaxSites + 1) {
    return;
  }
  std::vector<ConfigHead> records;
  for (const std::string& text : reply.head_records) {
    Result<ConfigHead> record = ParseConfigHead(text);
    if (!record) {
      peer_requests_.OnReplyRejected();
      Reject(record.error());
      return;
    }
    if (record->generation > generation()) {
      records.push_back(std::move(*record));
    }
  }
  if (records.empty()) {
    return;
  }
  for (const ConfigHead& it : records) {
    if (Result<void> accepted = chain_.Accept(it); !accepted) {
      peer_requests_.OnReplyRejected();
      Reject(accepted.error());
      return;
    }
  }
  DocumentTexts texts;
  for (const ConfigDocument& it : reply.documents) {
    texts.emplace(ComputeSha256Hex(it.text), it.text);
  }
  Apply(records.back(), std::move(texts));
}

void ConfigFollower::Impl::OnStoreHead(const StoredHead& head) {
  const Generation offered = head.head.generation;
  if (offered == generation() && head.digest != digest_) {
    Reject({ErrorCode::kProtocol,
            fmt::format("the store holds generation {} with a different digest",
                        offered.value())});
    return;
  }
  if (offered < generation()) {
    if (clock_.Now() - applied_at_ < kStaleReadLimit) {
      // The read had started before the generation rose.
      return;
    }
    Reject({ErrorCode::kProtocol,
            fmt::format("the store's head went back to generation {}",
                        offered.value())});
    return;
  }
  const bool is_running = fetcher_ && fetch_generation_ >= offered;
  if (offered <= newest_invalid_generation_ || is_running) {
    return;
  }
  if (offered > generation() || !FindMissingDigests(head.head).empty()) {
    StartFetch(head.head);
  }
}

void ConfigFollower::Impl::StartFetch(const ConfigHead& target) {
  fetch_generation_ = target.generation;
  fetcher_ = std::make_unique<internal::HeadFetcher>(
      store_, clock_, random_, options_.fetch_limit, chain_);
  // This site's documents are fetched first. Those of other sites serve only to
  // answer peers and are fetched once the generation is in force.
  const bool is_in_force = target.generation == generation();
  fetcher_->Start(
      target,
      is_in_force ? FindMissingDigests(target) : FindMissingSiteDigests(target),
      [this, target](Result<DocumentTexts> texts) {
        OnFetched(target, std::move(texts));
      });
}

void ConfigFollower::Impl::OnFetched(const ConfigHead& target,
                                     Result<DocumentTexts> texts) {
  fetcher_.reset();
  if (texts) {
    if (target.generation > generation()) {
      Apply(target, std::move(*texts));
    } else if (target.generation == generation()) {
      document_texts_.merge(*texts);
    }
    return;
  }
  if (texts.error().code == ErrorCode::kProtocol) {
    Reject(texts.error());
    return;
  }
  // The next read of the head starts the fetch again.
  ++counts_.store_faults;
}

std::vector<std::string> ConfigFollower::Impl::FindMissingSiteDigests(
    const ConfigHead& head) const {
  std::vector<std::string> wanted = {head.documents.base};
  const auto own = head.documents.overlays.find(site_);
  if (own != head.documents.overlays.end()) {
    wanted.push_back(own->second);
  }
  std::erase_if(
      wanted, [this](const auto& it) { return document_texts_.contains(it); });
  return wanted;
}

std::vector<std::string> ConfigFollower::Impl::FindMissingDigests(
    const ConfigHead& head) const {
  std::vector<std::string> wanted = {head.documents.base};
  for (const auto& [site, digest] : head.documents.overlays) {
    wanted.push_back(digest);
  }
  std::erase_if(
      wanted, [this](const auto& it) { return document_texts_.contains(it); });
  return wanted;
}

void ConfigFollower::Impl::Reject(const Error& error) {
  ++counts_.rejected_chains;
  repeated_log_.Warning("chain", "Configuration rejected: {}.", error.detail);
}

void ConfigFollower::Impl::Apply(const ConfigHead& head, DocumentTexts texts) {
  texts.insert(document_texts_.begin(), document_texts_.end());
  const auto base = texts.find(head.documents.base);
  const auto own = head.documents.overlays.find(site_);
  const bool has_overlay = own != head.documents.overlays.end();
  const auto overlay = has_overlay ? texts.find(own->second) : texts.end();
  if (base == texts.end() || (has_overlay && overlay == texts.end())) {
    // The peer's reply lacks a document of this site.
    StartFetch(head);
    return;
  }
  ConfigResult<SiteConfig> parsed = ParseSiteConfig(
      base->second, has_overlay ? overlay->second : std::string_view(), site_);
  if (!parsed) {
    ++counts_.invalid_documents;
    newest_invalid_generation_ = head.generation;
    kLog.Error("Generation {} is not applied, its documents are invalid: {}.",
               head.generation.value(), ToString(parsed.error().front()));
    return;
  }
  digest_ = HeadDigest(head);
  parsed->generation = head.generation;
  parsed->digest = digest_;
  current_ = std::move(*parsed);
  in_force_since_ = clock_.WallNow();
  applied_at_ = clock_.Now();
  ++counts_.applied;
  std::erase_if(texts, [&head](const auto& it) {
    return !ContainsDigest(head.documents, it.first);
  });
  document_texts_ = std::move(texts);
  peer_requests_.OnGenerationApplied(generation());
  kLog.Debug("Generation {} is in force.", generation().value());
  if (!FindMissingDigests(head).empty()) {
    StartFetch(head);
  }
  signal_applied_.emit(*current_);
}

ConfigFollower::ConfigFollower(const SiteId& site,
                               Clock& clock,
                               Random& random,
                               PlatformStore& store,
                               SendConfigRequest send_config_request,
                               const ConfigFollowerOptions& options)
    : impl_(std::make_unique<Impl>(site,
                                   clock,
                                   random,
                                   store,
                                   std::move(send_config_request),
                                   options)) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::Start() {
  impl_->Start();
}

void ConfigFollower::OnPeerHead(Generation generation,
                                const std::string& digest,
                                const Endpoint& peer) {
  impl_->OnPeerHead(generation, digest, peer);
}

ConfigReplyMessage ConfigFollower::BuildConfigReply(
    const ConfigRequestMessage& request) const {
  return impl_->BuildConfigReply(request);
}

void ConfigFollower::OnConfigReply(const ConfigReplyMessage& reply) {
  impl_->OnConfigReply(reply);
}

const SiteConfig* ConfigFollower::current() const {
  return impl_->current();
}

Generation ConfigFollower::generation() const {
  return impl_->generation();
}

const std::string& ConfigFollower::digest() const {
  return impl_->digest();
}

WallTime ConfigFollower::in_force_since() const {
  return impl_->in_force_since();
}

const ConfigFollowerCounts& ConfigFollower::counts() const {
  return impl_->counts();
}

ConfigFollower::AppliedSignal& ConfigFollower::signal_applied() {
  return impl_->signal_applied();
}

}  // namespace kingcupdrift
