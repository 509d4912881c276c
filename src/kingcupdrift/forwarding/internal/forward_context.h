#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_CONTEXT_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupdrift/forwarding/forwarder.h"
#include "kingcupdrift/forwarding/internal/buffer_budget.h"
#include "kingcupdrift/forwarding/internal/crash_monitor.h"
#include "kingcupdrift/forwarding/internal/engine_checker.h"
#include "kingcupdrift/forwarding/internal/engine_reachability.h"
#include "kingcupdrift/forwarding/internal/overdue_allowance.h"
#include "kingcupdrift/forwarding/internal/unread_answers.h"
#include "kingcupdrift/forwarding/internal/wait_queue.h"
#include "kingcupdrift/forwarding/target_health.h"
#include "kingcupdrift/forwarding/target_rate_limiter.h"
#include "kingcupdrift/routing/routing.h"

namespace kingcupdrift {

/// A planned stop of this entry (the serving process).
struct PlannedStop {
  /// From this time on, requests whose time limit ends after `end` are refused.
  MonotonicTime notice_end;
  MonotonicTime end;
};

/// State that all requests of one forwarder share.
struct ForwardContext {
  ForwardContext(const ForwarderSettings& settings_in,
                 const ForwarderDependencies& dependencies)
      : settings(settings_in),
        clock(dependencies.clock),
        random(dependencies.random),
        targets(dependencies.targets),
        log(dependencies.log),
        directory(clock),
        health(clock),
        rate_limiter(clock, settings_in.instance),
        work_tracker(clock),
        budget(clock, settings_in.budget),
        overdue_allowance(clock, random, budget),
        queue(clock, log),
        reachability(clock, random, targets, directory, log),
        checker(clock, targets, health, reachability, directory, log),
        crash_monitor(clock, health, log),
        buffers(clock, log, settings_in.memory_limit),
        unread_answers(buffers) {}

  ForwarderSettings settings;
  Clock& clock;
  Random& random;
  TargetClient& targets;
  DecisionLog& log;
  // Shared with requests, which keep the configuration of their arrival.
  std::shared_ptr<const RouteTable> table;
  TargetDirectory directory;
  TargetHealth health;
  TargetRateLimiter rate_limiter;
  WorkTracker work_tracker;
  RetryBudgetShare budget;
  OverdueAllowance overdue_allowance;
  WaitQueue queue;
  EngineReachability reachability;
  EngineChecker checker;
  CrashMonitor crash_monitor;
  BufferBudget buffers;
  UnreadAnswers unread_answers;
  // Requests refused because the memory for slow readers is used up.
  std::uint64_t buffer_refusals = 0;
  std::vector<RelayPeer> relay_peers;
  // Attempts that went to other entries, for metrics.
  std::uint64_t relayed_requests = 0;
  // Entries that share the retry budget, this one included.
  std::size_t entry_count = 1;
  std::optional<PlannedStop> stop;
  /// This entry's attempts in progress of requests without a prompt.
  std::map<EngineId, int> sends_in_progress;
  Forwarder::WorkListener work_listener;
  // Number of the next attempt with a prompt, for its identifier.
  std::uint64_t next_prompt_attempt = 0;
  // Attempts that may have run and brought no whole answer, for metrics.
  std::uint64_t interrupted_before_first_event = 0;
  std::uint64_t interrupted_streams = 0;
  // Attempts given up since their first event was overdue, for metrics.
  std::uint64_t overdue_attempts = 0;
  // Refusals of targets that were not passed on since the request may have run,
  // for metrics.
  std::uint64_t unconfirmed_refusals = 0;
  // Times that an engine asked for a pause, for metrics.
  std::uint64_t pauses = 0;
  // Checks that found an engine down, for metrics.
  std::uint64_t engines_found_down = 0;
  // Prompts refused for the work ahead of them, for metrics.
  std::uint64_t refused_early = 0;
  // Number of requests by outcome, for metrics.
  std::map<std::string, std::uint64_t> outcomes;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_FORWARD_CONTEXT_H_
