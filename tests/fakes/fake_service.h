#ifndef TESTS_FAKES_FAKE_SERVICE_H_
#define TESTS_FAKES_FAKE_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"
#include "tests/fakes/delayed_task_runner.h"

namespace kingcupdrift::fakes {

/// Faults of a plain service.
struct ServiceFault {
  /// Connections are refused.
  bool is_down = false;
  /// Requests arrive and run, but get no answer.
  bool loses_replies = false;
  /// Requests never arrive and get no answer.
  bool drops_requests = false;
  /// Requests that do not ask for a new connection never arrive. Connections
  /// themselves are not modelled.
  bool drops_requests_on_old_connections = false;
  /// Duration of a call.
  Duration run_time = std::chrono::milliseconds(5);
};

/// Simulates a plain service without I/O and counts its executions. It does not
/// deduplicate calls: each arrival is executed.
class ServiceModel {
 public:
  /// Executes a call. The answer's body is {"executed":N}, where N counts the
  /// executions of this idempotency key so far.
  ServiceResponse Run(const std::string& idempotency_key,
                      const AttemptId& attempt);

  void SetFault(ServiceFault fault) { fault_ = fault; }
  const ServiceFault& fault() const { return fault_; }
  /// The connections of the next `n` calls are interrupted after the call has
  /// run.
  void LoseReplies(int n) { replies_to_lose_ += n; }
  bool ConsumeLostReply();

  int RunsOfKey(const std::string& idempotency_key) const;
  const std::map<std::string, int>& runs_by_key() const { return by_key_; }
  const std::map<AttemptId, int>& runs_by_attempt() const {
    return by_attempt_;
  }

 private:
  ServiceFault fault_;
  int replies_to_lose_ = 0;
  std::map<std::string, int> by_key_;
  std::map<AttemptId, int> by_attempt_;
};

/// The servers of a test's plain services, by identifier.
class ServiceFleet {
 public:
  explicit ServiceFleet(Clock& clock) : in_flight_(clock) {}

  ServiceModel& Get(const EngineId& id) { return models_[id]; }
  std::map<EngineId, ServiceModel>& models() { return models_; }
  /// Number of executions of a key at all servers.
  int RunsOfKey(const std::string& idempotency_key) const;
  DelayedTaskRunner& in_flight() { return in_flight_; }

 private:
  std::map<EngineId, ServiceModel> models_;
  DelayedTaskRunner in_flight_;
};

/// One entry's (serving process's) client of a fleet of plain services.
/// Destroying a returned ServiceCall drops its callback; its request still
/// runs. Destroying the client itself does not end open calls.
class FakeServiceClient : public ServiceClient {
 public:
  FakeServiceClient(ServiceFleet& fleet, Clock& clock);

  /// Marks the process as dead: later calls do nothing.
  void Close() { is_closed_ = true; }

  std::unique_ptr<ServiceCall> Call(const EngineAddress& target,
                                    const ServiceRequest& request,
                                    Callback callback) override;

 private:
  class FakeCall;

  ServiceFleet& fleet_;
  Clock& clock_;
  bool is_closed_ = false;
};

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_FAKE_SERVICE_H_
