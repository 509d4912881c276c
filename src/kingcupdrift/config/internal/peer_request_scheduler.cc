#include "kingcupdrift/config/internal/peer_request_scheduler.h"

#include <algorithm>
#include <utility>

namespace kingcupdrift::internal {

PeerRequestScheduler::PeerRequestScheduler(Clock& clock,
                                           Random& random,
                                           Duration initial_interval,
                                           SendRequest send_request)
    : clock_(clock),
      random_(random),
      initial_interval_(initial_interval),
      interval_(initial_interval),
      send_request_(std::move(send_request)) {}

void PeerRequestScheduler::Add(Generation generation, const Endpoint& peer) {
  std::erase_if(candidates_,
                [&peer](const Candidate& it) { return it.peer == peer; });
  candidates_.push_back({peer, generation});
  if (candidates_.size() > kMaxCandidates) {
    candidates_.pop_front();
  }
  if (!timer_) {
    ScheduleRequest();
  }
}

void PeerRequestScheduler::OnReplyRejected() {
  if (candidates_.empty()) {
    return;
  }
  interval_ = std::min(interval_ * 2, kMaxInterval);
}

void PeerRequestScheduler::OnGenerationApplied(Generation applied) {
  interval_ = initial_interval_;
  std::erase_if(candidates_, [applied](const Candidate& it) {
    return it.generation <= applied;
  });
}

void PeerRequestScheduler::ScheduleRequest() {
  const auto jitter = static_cast<Duration::rep>(
      random_.NextBelow(static_cast<std::uint64_t>(interval_.count() / 2) + 1));
  timer_ = clock_.RunAfter(interval_ - Duration(jitter),
                           [this] { SendNextRequest(); });
}

void PeerRequestScheduler::SendNextRequest() {
  timer_.reset();
  if (candidates_.empty()) {
    return;
  }
  // Picks a peer with the highest generation. Moving it to the back lets peers
  // of equal generation take turns.
  const auto it = std::max_element(candidates_.begin(), candidates_.end(),
                                   [](const Candidate& a, const Candidate& b) {
                                     return a.generation < b.generation;
                                   });
  const Candidate asked = *it;
  candidates_.erase(it);
  candidates_.push_back(asked);
  ScheduleRequest();
  send_request_(asked.peer);
}

}  // namespace kingcupdrift::internal
