#ifndef KINGCUPDRIFT_ADMISSION_FAIR_QUEUE_H_
#define KINGCUPDRIFT_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request that waits at this entry (serving process).
struct QueuedRequest {
  RequestId request;
  ServiceId service;
  WorkspaceId workspace;
  /// The workspace's weight in the fair share; ignored for large requests.
  double weight = 1.0;
  /// A higher priority is served first; ignored for large requests.
  int priority = 0;
  /// Prompt tokens plus the output limit.
  TokenCount tokens;
  /// Set by the caller for a prompt that needs an engine group, or as much
  /// memory as a group has. It waits in a separate first-in-first-out queue.
  bool is_large = false;
  /// Not read by the queue, which takes the order of the `Push` calls as the
  /// order of arrival.
  MonotonicTime arrival;
  MonotonicTime deadline;
};

enum class DispatchResult {
  /// The request left the queue.
  kDispatched,
  /// No engine has capacity for the request now; it keeps its place.
  kNoCapacity,
};

/// Requests that wait for an engine, in one queue per service. Small requests
/// are ordered by priority, then by weighted fair queueing among workspaces,
/// then by the order of `Push`. Large prompts have a separate
/// first-in-first-out queue per service. Two rules limit head-of-line blocking
/// and starvation:
///  - While the oldest large prompt finds no capacity, small requests overtake
///    it. Once those started since sum up to `kMaxOvertakingTokens`, small
///    requests of more than `kHoldExemptTokens` are held for at most
///    `kMaxHoldForLarge`; then the count starts again. The request that reaches
///    the limit still starts.
///  - While small requests wait, at most one start of `kStartsPerLargeStart` is
///    a large prompt's.
class FairQueue {
 public:
  using TryDispatch = std::function<DispatchResult(const QueuedRequest&)>;

  explicit FairQueue(const Clock& clock);
  ~FairQueue();

  void Push(QueuedRequest request);
  /// Removes a request; false if it does not wait here.
  bool Remove(const RequestId& request);

  /// Offers requests of each service in order to `try_dispatch`, which must not
  /// call back into the queue. Only the oldest request of each workspace and
  /// priority is offered, and a service's small requests are no longer offered
  /// after 8 of these were held or found no capacity; requests behind them that
  /// would fit may stay.
  void Drain(const TryDispatch& try_dispatch);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired();
  /// Earliest deadline in the queue; `MonotonicTime::max()` when empty.
  MonotonicTime NextDeadline() const;

  std::size_t Size() const;
  std::size_t Size(const ServiceId& service) const;
  /// Sum of `tokens` over the service's waiting requests, small and large.
  TokenCount Tokens(const ServiceId& service) const;

  /// The limits of the rules above, for each service.
  static constexpr TokenCount kMaxOvertakingTokens{2'000'000};
  static constexpr TokenCount kHoldExemptTokens{8'000};
  static constexpr Duration kMaxHoldForLarge = std::chrono::seconds(5);
  static constexpr int kStartsPerLargeStart = 4;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ADMISSION_FAIR_QUEUE_H_
