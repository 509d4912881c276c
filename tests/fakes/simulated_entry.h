#ifndef TESTS_FAKES_SIMULATED_ENTRY_H_
#define TESTS_FAKES_SIMULATED_ENTRY_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "kingcupdrift/admission/admission.h"
#include "kingcupdrift/routing/routing.h"
#include "tests/fakes/engine_model.h"
#include "tests/fakes/workload.h"

namespace kingcupdrift::fakes {

/// Result of one request of a load simulation.
struct SimulatedOutcome {
  const WorkloadRequest* request = nullptr;
  MonotonicTime arrival;
  /// MonotonicTime{} if there was no token.
  MonotonicTime first_token;
  MonotonicTime end;
  /// Cached prompt tokens that the last accepted attempt was told at its start.
  TokenCount cached;
  bool is_refused = false;
  bool is_completed = false;
  int attempts = 0;
};

/// The engines of a load simulation; lost ones cannot be reached.
struct SimulatedFleet {
  std::map<EngineId, std::unique_ptr<EngineModel>> engines;
  std::set<EngineId> lost;

  /// Null for an unknown or lost engine.
  EngineModel* Find(const EngineId& id) const;
};

/// Admission, queue and router of one entry (a serving process), connected to
/// model engines without a network.
class SimulatedEntry {
 public:
  using OnOutcome = std::function<void(const SimulatedOutcome&)>;

  SimulatedEntry(const RouterSettings& settings,
                 const SiteConfig& config,
                 SimulatedFleet& fleet,
                 Clock& clock,
                 std::uint64_t seed,
                 double capacity_share,
                 OnOutcome on_outcome);
  ~SimulatedEntry();

  void Arrive(WorkloadRequest request);
  /// Fetches the reports and cache events of the engines in the router's
  /// subset, sets admission's drain rate and schedules a dispatch.
  void Poll();
  std::vector<DispatchNote> TakeNotes() { return router_.TakeDispatchNotes(); }
  void OnNotes(const std::vector<DispatchNote>& notes) {
    router_.OnDispatchNotes(notes);
  }
  /// Retries or ends the requests that ran on lost engines; groups with a lost
  /// member are cancelled.
  void OnEnginesLost();

 private:
  struct Job;
  class Observer;

  RouteRequest MakeRouteRequest(Job& job) const;
  AdmissionRequest MakeAdmissionRequest(const Job& job) const;
  void Queue(Job& job);
  void DispatchQueued();
  void ScheduleDispatch();
  DispatchResult TryDispatch(const RequestId& id);
  bool Reserve(const Job& job, const Route& route);
  bool StartOn(Job& job, const RouteRequest& request, const Route& route);
  void Release(Job& job);
  void OnFirstToken(Job& job);
  void OnStreamEnded(Job& job, AttemptResult result);
  void Retry(Job& job);
  void End(Job& job);

  SimulatedFleet& fleet_;
  Clock& clock_;
  SeededRandom random_;
  Router router_;
  AdmissionController admission_;
  FairQueue queue_;
  /// This entry's share of the fleet's capacity, in (0, 1].
  double capacity_share_;
  RetryBudget budget_;
  OnOutcome on_outcome_;
  std::map<RequestId, std::unique_ptr<Job>> jobs_;
  std::vector<std::unique_ptr<Job>> ended_;
  std::map<EngineId, std::uint64_t> cache_sequences_;
  std::unique_ptr<Timer> dispatch_timer_;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_SIMULATED_ENTRY_H_
