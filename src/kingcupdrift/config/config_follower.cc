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
/// Reads that take longer have failed.
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
       SendConfigRequest ask_peer,
       const ConfigFollowerOptions& options)
      : site_(site),
        clock_(clock),
        random_(random),
        store_(store),
        send_config_request_(std::move(ask_peer)),
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
      Reject({ErrorCode::kProtocol,
              fmt::format("{} has another generation {}", ToString(peer),
                          generation.value())});
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
  /// Digests of the own site's documents, or of all, that are not here.
  std::vector<std::string> FindMissingSiteDigests(const ConfigHead& head) const;
  std::vector<std::string> FindMissingDigests(const ConfigHead& head) const;
  void Reject(const Error& error);
  /// Puts `head` in force if its documents are here and valid.
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
  /// Generation that the running fetch leads to.
  Generation fetch_generation_;
  /// Newest generation whose documents this program cannot read.
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
    // The peer is further behind than the records here.
    return reply;
  }
  // A peer without configuration takes any record as its anchor.
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
    Reject(
        {ErrorCode::kProtocol,
         fmt::format("the store has another generation {}", offered.value())});
    return;
  }
  if (offered < generation()) {
    if (clock_.Now() - applied_at_ < kStaleReadLimit) {
      // A read that was on its way when the generation rose.
      return;
    }
    Reject(
        {ErrorCode::kProtocol,
         fmt::format("the store is back at generation {}", offered.value())});
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
  // The own site's documents first; those of other sites, which only peers may
  // want, once the generation is in force.
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
  // The next read of the head starts over.
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
  repeated_log_.Warning("chain", "Head rejected: {}.", error.detail);
}

void ConfigFollower::Impl::Apply(const ConfigHead& head, DocumentTexts texts) {
  texts.insert(document_texts_.begin(), document_texts_.end());
  const auto base = texts.find(head.documents.base);
  const auto own = head.documents.overlays.find(site_);
  const bool has_overlay = own != head.documents.overlays.end();
  const auto overlay = has_overlay ? texts.find(own->second) : texts.end();
  if (base == texts.end() || (has_overlay && overlay == texts.end())) {
    // A peer did not have the own site's documents.
    StartFetch(head);
    return;
  }
  ConfigResult<SiteConfig> parsed = ParseSiteConfig(
      base->second, has_overlay ? overlay->second : std::string_view(), site_);
  if (!parsed) {
    ++counts_.invalid_documents;
    newest_invalid_generation_ = head.generation;
    kLog.Error("Generation {} cannot be read: {}.", head.generation.value(),
               ToString(parsed.error().front()));
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
  peer_requests_.OnCaughtUp(generation());
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
                               SendConfigRequest ask_peer,
                               const ConfigFollowerOptions& options)
    : impl_(std::make_unique<Impl>(site,
                                   clock,
                                   random,
                                   store,
                                   std::move(ask_peer),
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
