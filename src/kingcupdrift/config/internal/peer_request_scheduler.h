#ifndef KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_
#define KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_

#include <deque>
#include <functional>
#include <memory>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::internal {

/// Asks peers that reported a newer head, one at a time, until the own
/// generation has caught up.
class PeerRequestScheduler {
 public:
  using SendRequest = std::function<void(const Endpoint& peer)>;

  PeerRequestScheduler(Clock& clock,
                       Random& random,
                       Duration interval,
                       SendRequest ask);

  /// A peer has `generation`, which is above the own one.
  void Add(Generation generation, const Endpoint& peer);
  /// An answer was refused: asks ever more rarely until caught up.
  void OnReplyRejected();
  /// Forgets peers whose generation is not above `own`.
  void OnCaughtUp(Generation own);

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
  Duration shortest_interval_;
  Duration interval_;
  SendRequest send_request_;
  std::deque<Candidate> candidates_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CONFIG_INTERNAL_PEER_REQUEST_SCHEDULER_H_
