#include "tests/fakes/fake_service.h"

#include <fmt/format.h>

#include <utility>

namespace kingcupdrift::fakes {
namespace {

constexpr Duration kLatency = std::chrono::microseconds(500);
constexpr int kStatusOk = 200;

}  // namespace

ServiceResponse ServiceModel::Run(const std::string& idempotency_key,
                                  const AttemptId& attempt) {
  const int n = ++by_key_[idempotency_key];
  ++by_attempt_[attempt];
  ServiceResponse response;
  response.status = kStatusOk;
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = std::make_shared<const std::string>(
      fmt::format("{{\"executed\":{}}}", n));
  return response;
}

bool ServiceModel::ConsumeLostReply() {
  if (replies_to_lose_ == 0) {
    return false;
  }
  --replies_to_lose_;
  return true;
}

int ServiceModel::RunsOfKey(const std::string& idempotency_key) const {
  const auto it = by_key_.find(idempotency_key);
  return it == by_key_.end() ? 0 : it->second;
}

int ServiceFleet::RunsOfKey(const std::string& idempotency_key) const {
  int sum = 0;
  for (const auto& [id, model] : models_) {
    sum += model.RunsOfKey(idempotency_key);
  }
  return sum;
}

/// One call. It ends at the first of answer, failure and time limit.
class FakeServiceClient::FakeCall : public ServiceCall {
 public:
  FakeCall(Clock& clock, Callback callback)
      : replies_(std::make_shared<DelayedTaskRunner>(clock)),
        is_settled_(std::make_shared<bool>(false)),
        callback_(std::move(callback)) {}

  void Send(ServiceFleet& fleet,
            const EngineId& target,
            const ServiceRequest& request) {
    const ServiceFault& fault = fleet.Get(target).fault();
    if (fault.is_down) {
      Settle(kLatency,
             MakeError(ErrorCode::kUnavailable, "connection refused"));
      return;
    }
    Settle(request.time_left, MakeError(ErrorCode::kUnknownEffect,
                                        "no answer within the time limit"));
    const bool is_lost = fault.drops_requests_on_old_connections &&
                         !request.needs_new_connection;
    if (fault.drops_requests || is_lost) {
      return;
    }
    fleet.in_flight().Post(kLatency, MakeArrivalTask(fleet, target, request));
  }

 private:
  std::function<void()> MakeArrivalTask(ServiceFleet& fleet,
                                        const EngineId& target,
                                        const ServiceRequest& request) {
    const std::weak_ptr<DelayedTaskRunner> replies = replies_;
    return [&fleet, target, replies, key = request.idempotency_key,
            attempt = request.attempt, is_settled = is_settled_,
            callback = callback_] {
      ServiceModel& model = fleet.Get(target);
      Result<ServiceResponse> result =
          MakeError(ErrorCode::kUnknownEffect, "connection broke");
      if (!model.fault().is_down) {
        result = model.Run(key, attempt);
      }
      Duration delay = model.fault().run_time + kLatency;
      if (model.ConsumeLostReply()) {
        result = MakeError(ErrorCode::kUnknownEffect, "connection broke");
        delay = kLatency;
      }
      const auto reply_runner = replies.lock();
      if (reply_runner && !model.fault().loses_replies) {
        reply_runner->Post(delay, [is_settled, callback, result] {
          if (!std::exchange(*is_settled, true)) {
            callback(result);
          }
        });
      }
    };
  }

  void Settle(Duration delay, Result<ServiceResponse> result) {
    replies_->Post(delay, [is_settled = is_settled_, callback = callback_,
                           result = std::move(result)] {
      if (!std::exchange(*is_settled, true)) {
        callback(result);
      }
    });
  }

  // Shared with requests in flight, which may outlive the call.
  std::shared_ptr<DelayedTaskRunner> replies_;
  std::shared_ptr<bool> is_settled_;
  Callback callback_;
};

FakeServiceClient::FakeServiceClient(ServiceFleet& fleet, Clock& clock)
    : fleet_(fleet), clock_(clock) {}

std::unique_ptr<ServiceCall> FakeServiceClient::Call(
    const EngineAddress& target,
    const ServiceRequest& request,
    Callback callback) {
  auto call = std::make_unique<FakeCall>(clock_, std::move(callback));
  if (!is_closed_) {
    call->Send(fleet_, target.id, request);
  }
  return call;
}

}  // namespace kingcupdrift::fakes
