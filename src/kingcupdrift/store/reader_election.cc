#include "kingcupdrift/store/reader_election.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kingcupdrift {
namespace {

constexpr std::string_view kRendezvousKey = "store readers";

struct RankedEntry {
  double cores = 0;
  std::uint64_t weight = 0;
  const InstanceId* id = nullptr;
  const FailureDomain* domain = nullptr;
  bool is_healthy_reader = false;
  // Number of entries of its failure domain that have a higher weight.
  std::size_t place_in_domain = 0;
};

}  // namespace

ReaderElection::ReaderElection(const Clock& clock, ReaderCandidate local)
    : clock_(clock), local_(std::move(local)) {
  local_.is_healthy_reader = false;
}

ReaderElection::Rank ReaderElection::ComputeRank(
    const std::vector<ReaderCandidate>& peers,
    bool is_eligible) const {
  std::vector<RankedEntry> entries;
  entries.reserve(peers.size() + 1);
  const auto add = [&entries](const ReaderCandidate& it) {
    entries.push_back({it.cores,
                       RendezvousWeight(kRendezvousKey, it.id.value()), &it.id,
                       &it.failure_domain, it.is_healthy_reader});
  };
  add(local_);
  for (const ReaderCandidate& it : peers) {
    add(it);
  }
  std::sort(entries.begin(), entries.end(),
            [](const RankedEntry& a, const RankedEntry& b) {
              return std::tie(b.cores, b.weight, *b.id) <
                     std::tie(a.cores, a.weight, *a.id);
            });
  std::map<FailureDomain, std::size_t> counts;
  for (RankedEntry& it : entries) {
    it.place_in_domain = counts[*it.domain]++;
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const RankedEntry& a, const RankedEntry& b) {
                     return a.place_in_domain < b.place_in_domain;
                   });
  Rank rank;
  for (const RankedEntry& it : entries) {
    if (it.id == &local_.id) {
      if (is_eligible) {
        break;
      }
      continue;
    }
    ++rank.before;
    rank.healthy_before += it.is_healthy_reader ? 1 : 0;
  }
  return rank;
}

void ReaderElection::Update(const std::vector<ReaderCandidate>& peers,
                            bool is_local_healthy,
                            bool is_eligible) {
  const Rank rank = ComputeRank(peers, is_eligible);
  has_healthy_reader_ = std::any_of(
      peers.begin(), peers.end(),
      [](const ReaderCandidate& it) { return it.is_healthy_reader; });
  is_first_reader_ = is_local_healthy && rank.healthy_before == 0;
  const MonotonicTime now = clock_.Now();
  if (has_healthy_reader_) {
    without_reader_since_.reset();
  } else if (!without_reader_since_) {
    without_reader_since_ = now;
  }
  if (rank.before < kReaderCount) {
    should_read_ = true;
    return;
  }
  if (should_read_) {
    // Stays a reader while it is one of the few that reach the store.
    should_read_ = is_local_healthy ? rank.healthy_before < kReaderCount
                                    : !has_healthy_reader_;
    return;
  }
  const Duration delay =
      kTakeoverDelay +
      std::min(kMaxTakeoverDelay,
               kTakeoverDelayPerRank * static_cast<Duration::rep>(rank.before));
  should_read_ = without_reader_since_ && now - *without_reader_since_ >= delay;
}

}  // namespace kingcupdrift
