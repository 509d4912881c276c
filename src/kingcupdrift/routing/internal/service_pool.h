#ifndef KINGCUPDRIFT_ROUTING_INTERNAL_SERVICE_POOL_H_
#define KINGCUPDRIFT_ROUTING_INTERNAL_SERVICE_POOL_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/config/config.h"
#include "kingcupdrift/routing/internal/engine_state.h"
#include "kingcupdrift/routing/internal/local_attempt.h"
#include "kingcupdrift/routing/internal/pool_query.h"
#include "kingcupdrift/routing/internal/prefix_index.h"
#include "kingcupdrift/routing/internal/prompt_length_distribution.h"
#include "kingcupdrift/routing/outlier_ejector.h"
#include "kingcupdrift/routing/router.h"

namespace kingcupdrift {

/// The engines of one service in the subset of this entry (the serving
/// process), and this entry's attempts there. Calls have the effects and errors
/// of those of `Router`.
class ServicePool {
 public:
  ServicePool(ServiceConfig config,
              const RouterSettings& settings,
              const Clock& clock,
              Random& random);
  ~ServicePool();

  const ServiceConfig& config() const { return config_; }
  void SetConfig(const ServiceConfig& config);
  void SetEngines(const std::vector<const EngineConfig*>& subset);
  void AppendEngines(std::vector<EngineAddress>& out) const;

  // Each returns false if the engine or attempt does not belong to this pool.
  bool OnReport(const EngineId& engine, const EngineReport& report);
  bool OnReportFailed(const EngineId& engine);
  bool OnCacheEvents(const EngineId& engine, const CacheEventBatch& batch);
  bool OnAccepted(const AttemptId& attempt, TokenCount cached);
  bool OnProgress(const AttemptId& attempt);
  bool OnEnded(const AttemptId& attempt, AttemptResult result);

  /// Adds a dispatch of another entry. Returns false if its engine does not
  /// belong to this pool.
  bool OnNote(const DispatchNote& note);
  /// Moves the notes of this entry's own dispatches to the end of `out`.
  void TakeNotes(std::vector<DispatchNote>& out);

  Result<Route> Choose(const RouteRequest& request);
  Result<RouteEstimate> Predict(const RouteRequest& request) const;
  void OnDispatched(const RouteRequest& request, const Route& route);

  ServiceLoad GetServiceLoad() const;
  bool IsUsable(const EngineId& engine) const;
  std::size_t MemoryBytes() const;

 private:
  friend class PoolView;

  using Slots = std::vector<std::size_t>;

  PoolQuery MakeQuery(const RouteRequest& request) const;
  double ShareAhead(const PoolQuery& query) const;
  RouteEstimate EstimateAt(const PoolQuery& query, std::size_t slot) const;
  Slots UsableSlots(const RouteRequest& request) const;
  Slots FindSlotsWithCapacity(const PoolQuery& query,
                              const Slots& usable) const;
  bool IsSlotUsable(std::size_t slot) const;
  bool CanMeetDeadline(const PoolQuery& query,
                       const RouteEstimate& estimate) const;
  Result<Route> ChooseSingle(const PoolQuery& query, const Slots& slots);
  Result<Route> ChooseGroup(const PoolQuery& query, const Slots& usable) const;
  Route MakeRoute(const PoolQuery& query, const Slots& members) const;
  EngineAddress Address(std::size_t slot) const;
  EngineState* FindEngine(const EngineId& engine) const;
  void AddEngine(const EngineConfig& config);
  void RemoveEngine(std::size_t slot);
  void AddNote(const LocalAttempt& attempt);
  LocalAttempt* FindAttempt(const AttemptId& attempt) const;
  void LearnFirstToken(const LocalAttempt& attempt);
  double MeanPrefillRate() const;

  ServiceConfig config_;
  std::unique_ptr<RoutingPolicy> policy_;
  bool uses_length_priority_;
  const Clock& clock_;
  Random& random_;
  std::vector<std::unique_ptr<EngineState>> engines_;
  std::unordered_map<EngineId, std::size_t> slots_;
  std::unordered_map<AttemptId, std::unique_ptr<LocalAttempt>> attempts_;
  std::deque<DispatchNote> notes_;
  MonotonicTime notes_fresh_until_;
  OutlierEjector ejector_;
  PrefixIndex prefixes_;
  PromptLengthDistribution prompt_lengths_;
  PredictionError prediction_error_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_ROUTING_INTERNAL_SERVICE_POOL_H_
