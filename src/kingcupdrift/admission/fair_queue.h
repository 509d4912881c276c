#ifndef KINGCUPDRIFT_ADMISSION_FAIR_QUEUE_H_
#define KINGCUPDRIFT_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// A request that waits at this entry.
struct QueuedRequest {
  RequestId request;
  ServiceId service;
  WorkspaceId workspace;
  /// The workspace's weight in the fair share.
  double weight = 1.0;
  int priority = 0;
  /// Prompt and output tokens.
  TokenCount tokens;
  /// Needs an engine group or waits for room as large as one.
  bool is_large = false;
  MonotonicTime arrival;
  MonotonicTime deadline;
};

enum class DispatchResult {
  /// The request left the queue.
  kDispatched,
  /// No room for it now; it keeps its place.
  kNoCapacity,
};

/// Requests that wait for an engine. Order: by priority, then by weighted fair
/// queueing among workspaces, then by arrival. Large prompts are served by age
/// beside that, with bounds in both directions:
///  - while a large prompt waits without room, at most `kMaxOvertakingTokens`
///    of smaller ones start before it; then those above `kHoldExemptTokens`
///    wait for it, for at most `kMaxHoldForLarge`, after which another such
///    allowance begins;
///  - of each `kStartsPerLargeStart` starts at most one is a large prompt while
///  smaller
///    ones wait.
class FairQueue {
 public:
  using TryDispatch = std::function<DispatchResult(const QueuedRequest&)>;

  explicit FairQueue(const Clock& clock);
  ~FairQueue();

  void Push(QueuedRequest request);
  /// Takes a request out; false if it is not here.
  bool Remove(const RequestId& request);

  /// Offers requests in order until nothing more can start. `try_dispatch` must
  /// not call back into the queue.
  void Drain(const TryDispatch& try_dispatch);

  /// Takes out the requests whose deadline passed. They are no longer offered.
  std::vector<QueuedRequest> TakeExpired();
  /// Earliest deadline in the queue; `MonotonicTime::max()` when empty.
  MonotonicTime NextDeadline() const;

  std::size_t Size() const;
  std::size_t Size(const ServiceId& service) const;
  TokenCount Tokens(const ServiceId& service) const;

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
