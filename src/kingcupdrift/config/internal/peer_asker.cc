#include "kingcupdrift/config/internal/peer_asker.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::internal {

PeerAsker::PeerAsker(Clock& clock, Random& random, Duration interval, Ask ask)
    : clock_(clock),
      random_(random),
      shortest_interval_(interval),
      interval_(interval),
      ask_(std::move(ask)) {}

void PeerAsker::Add(Generation generation, const Endpoint& peer) {
  std::erase_if(candidates_,
                [&peer](const Candidate& it) { return it.peer == peer; });
  candidates_.push_back({peer, generation});
  if (candidates_.size() > kMaxCandidates) {
    candidates_.pop_front();
  }
  if (!timer_) {
    AskLater();
  }
}

void PeerAsker::OnRefused() {
  if (candidates_.empty()) {
    return;
  }
  interval_ = std::min(interval_ * 2, kMaxInterval);
}

void PeerAsker::OnCaughtUp(Generation own) {
  interval_ = shortest_interval_;
  std::erase_if(candidates_,
                [own](const Candidate& it) { return it.generation <= own; });
}

void PeerAsker::AskLater() {
  const auto jitter = static_cast<Duration::rep>(
      random_.Below(static_cast<std::uint64_t>(interval_.count() / 2) + 1));
  timer_ = clock_.RunAfter(interval_ - Duration(jitter), [this] { AskOne(); });
}

void PeerAsker::AskOne() {
  timer_.reset();
  if (candidates_.empty()) {
    return;
  }
  // The newest generation first; after a request the next one has its turn.
  const auto it = std::max_element(candidates_.begin(), candidates_.end(),
                                   [](const Candidate& a, const Candidate& b) {
                                     return a.generation < b.generation;
                                   });
  const Candidate asked = *it;
  candidates_.erase(it);
  candidates_.push_back(asked);
  AskLater();
  ask_(asked.peer);
}

}  // namespace kingcupdrift::internal
