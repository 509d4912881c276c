#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_

#include <deque>
#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Sends requests to peers that reported a newer head until this process has
/// caught up with them: one request per interval, to one peer, without waiting
/// for the reply to the previous one. Each wait before a request is random,
/// from half of the interval to all of it. The interval starts at
/// `initial_interval`.
class PeerRequestScheduler {
 public:
  using SendRequest = std::function<void(const Endpoint& peer)>;

  PeerRequestScheduler(Clock& clock,
                       Random& random,
                       Duration initial_interval,
                       SendRequest send_request);

  /// Remembers a peer at `generation`, which must be above this process's, and
  /// schedules a request. Only the newest `kMaxCandidates` reports are kept.
  void Add(Generation generation, const Endpoint& peer);
  /// A peer's reply was rejected or empty: doubles the interval, up to
  /// `kMaxInterval`.
  void OnReplyRejected();
  /// A new generation was applied: resets the interval and forgets peers whose
  /// generation is not above `applied`.
  void OnGenerationApplied(Generation applied);

 private:
  struct Candidate {
    Endpoint peer;
    Generation generation;
  };
  static constexpr std::size_t kMaxCandidates = 8;
  static constexpr Duration kMaxInterval = std::chrono::seconds(30);

  void ScheduleRequest();
  void SendNextRequest();

  Clock& clock_;
  Random& random_;
  Duration initial_interval_;
  Duration interval_;
  SendRequest send_request_;
  std::deque<Candidate> candidates_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_
