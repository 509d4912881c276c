#include "tests/forwarding/forwarding_harness.h"

#include <utility>

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

class RecordingForwardSink : public ForwardSink {
 public:
  explicit RecordingForwardSink(std::shared_ptr<CallerRecord> record)
      : record_(std::move(record)) {}

  void Reply(const ServiceResponse& response) override {
    record_->reply = response;
  }
  void Begin(int status, const HeaderList&) override {
    record_->stream_status = status;
  }
  void Write(std::string_view bytes) override { record_->bytes += bytes; }
  void End() override { record_->has_ended = true; }
  void Abort() override { record_->is_aborted = true; }
  void Refuse(const ForwardRefusal& refusal) override {
    record_->refusal = refusal;
  }
  void SetClosedCallback(std::function<void()> callback) override {
    record_->on_closed = std::move(callback);
  }
  void SetDrainedCallback(std::function<void()>) override {}
  ByteCount GetUnsentBytes() const override { return ByteCount(0); }

 private:
  std::shared_ptr<CallerRecord> record_;
};

class FakeTargetCall : public TargetCall {
 public:
  explicit FakeTargetCall(std::shared_ptr<TargetSend> send)
      : send_(std::move(send)) {}
  ~FakeTargetCall() override { send_->observer = nullptr; }
  void SetPaused(bool is_paused) override { send_->is_paused = is_paused; }

 private:
  std::shared_ptr<TargetSend> send_;
};

RouteRule Route(const std::string& prefix,
                RetrySafety retry_safety,
                int attempts) {
  RouteRule route;
  route.name = prefix;
  route.host = "example";
  route.prefix = prefix;
  route.retry_safety = retry_safety;
  route.time_limit = milliseconds(10'000);
  route.target_latency = milliseconds(300);
  route.first_event_timeout = milliseconds(2000);
  route.max_attempts = attempts;
  route.shares = {{ServiceId("plain"), 1}};
  return route;
}

}  // namespace

std::unique_ptr<ForwardSink> MakeRecordingSink(
    std::shared_ptr<CallerRecord> record) {
  return std::make_unique<RecordingForwardSink>(std::move(record));
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::unique_ptr<TargetCall> FakeTargetClient::Send(const EngineAddress& target,
                                                   const TargetRequest& request,
                                                   TargetObserver& observer) {
  std::optional<ForwardCall> relayed_call;
  if (request.is_relay) {
    relayed_call = *request.call;
    relayed_call->is_relayed = true;
    relayed_call->time_limit = request.time_left;
    relayed_call->last_event_id = request.last_event_id;
  }
  auto send = std::make_shared<TargetSend>(
      TargetSend{target, request.call->id, request.workspace, request.time_left,
                 request.last_event_id, request.helpers,
                 request.call->prompt ? request.call->prompt->shared_parts
                                      : std::vector<PromptPartId>(),
                 *request.call->body, std::move(relayed_call), &observer});
  send->priority = request.priority;
  sends.push_back(send);
  return std::make_unique<FakeTargetCall>(send);
}

void FakeTargetClient::Check(const EngineAddress& engine,
                             Duration,
                             DoneCallback callback) {
  checks.push_back(engine.id);
  Result<void> done;
  if (is_cut_off || unresponsive.contains(engine.id)) {
    done = MakeError(ErrorCode::kUnavailable, "no answer");
  }
  pending_answers.push_back(
      [done, callback = std::move(callback)] { callback(done); });
}

void FakeTargetClient::Reserve(const EngineAddress& engine,
                               const ReservationId& reservation,
                               TokenCount tokens,
                               Duration,
                               DoneCallback callback) {
  Result<void> done;
  if (without_memory.contains(engine.id)) {
    done = MakeError(ErrorCode::kOverloaded, "no memory");
  } else {
    reservations[{engine.id, reservation}] = tokens;
  }
  pending_answers.push_back(
      [done, callback = std::move(callback)] { callback(done); });
}

void FakeTargetClient::AnswerPendingCalls() {
  for (const auto& answer : std::exchange(pending_answers, {})) {
    answer();
  }
}

void FakeTargetClient::Release(const EngineAddress& engine,
                               const ReservationId& reservation,
                               DoneCallback callback) {
  reservations.erase({engine.id, reservation});
  pending_answers.push_back([callback = std::move(callback)] { callback({}); });
}

ForwardingHarness::ForwardingHarness(std::optional<ByteCount> memory_limit)
    : log(clock,
          [this](std::string_view bytes) {
            log_text += bytes;
            return bytes.size();
          }),
      forwarder(Forwarder::Create({InstanceId("entry-1"),
                                   FailureDomain("a"),
                                   {0.2, 100},
                                   std::nullopt,
                                   memory_limit,
                                   "weight-versions"},
                                  {clock, random, targets, log})) {
  forwarder->SetWorkListener(
      [this](const WorkNote& note) { notes.push_back(note); });
  forwarder->ApplyConfig(Config());
}

ServingConfig ForwardingHarness::Config() {
  ServingConfig config;
  config.version = Generation(1);
  RouteRule prompts = Route("/prompt/", RetrySafety::kIdempotent, 2);
  prompts.is_streaming = true;
  prompts.max_event_gap = milliseconds(250);
  // Long enough to prefill the largest prompt of these tests.
  prompts.first_event_timeout = milliseconds(8000);
  prompts.shares = {{ServiceId("model"), 1}};
  config.routes = {prompts, Route("/safe/", RetrySafety::kIdempotent, 2),
                   Route("/once/", RetrySafety::kOnce, 1)};
  EngineTiming timing;
  timing.slots = 16;
  timing.memory = TokenCount(315'000);
  timing.steps_per_iteration = 51;
  timing.base_step_time = std::chrono::microseconds(850);
  timing.step_us_per_stream = 4.25;
  timing.step_us_per_context_token = 0.00285;
  timing.prefill_us_per_token = 1'000'000 / 177'000.0;
  timing.prefill_us_per_token_pair = 0.000184;
  config.services[ServiceId("model")].engine = timing;
  config.services[ServiceId("plain")] = {};
  config.needs_key = true;
  config.workspace_of_key["key"] = WorkspaceId("workspace");
  return config;
}

void ForwardingHarness::AddEngines(int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "engine-" + std::to_string(10 + i);
    const auto port = static_cast<std::uint16_t>(8000 + i);
    forwarder->UpdateTarget({{EngineId(id), {"10.0.0.1", port}},
                             ServiceId("model"),
                             FailureDomain("a"),
                             16});
  }
}

void ForwardingHarness::AddPlainTargets(int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "plain-" + std::to_string(i);
    forwarder->UpdateTarget({{EngineId(id), {"10.0.0.2", 80}},
                             ServiceId("plain"),
                             FailureDomain("a"),
                             6});
  }
}

ForwardCall ForwardingHarness::Call(const std::string& path) {
  ForwardCall call;
  call.id = RequestId("request");
  call.host = "example";
  call.method = "POST";
  call.target = path;
  call.body = std::make_shared<const std::string>("body");
  call.key = "key";
  return call;
}

ForwardCall ForwardingHarness::Prompt(std::int64_t tokens) {
  ForwardCall call = Call("/prompt/x");
  call.prompt =
      PromptSize{TokenCount(tokens), TokenCount(100), TokenCount(100)};
  return call;
}

std::shared_ptr<CallerRecord> ForwardingHarness::Handle(ForwardCall call) {
  auto record = std::make_shared<CallerRecord>();
  forwarder->Handle(std::move(call), MakeRecordingSink(record));
  return record;
}

void ForwardingHarness::Answer(std::size_t i,
                               int status,
                               const std::string& body) {
  TargetResponseHead answer;
  answer.status = status;
  answer.request = send(i).request;
  answer.is_signed = true;
  send(i).observer->OnResponseHead(answer);
  send(i).observer->OnBytes(body);
  send(i).observer->OnEnd();
}

void ForwardingHarness::Decline(std::size_t i,
                                std::optional<Endpoint> faulty_engine) {
  TargetResponseHead answer;
  answer.faulty_engine = std::move(faulty_engine);
  answer.status = 503;
  answer.is_not_run = true;
  answer.has_not_run_mark = true;
  send(i).observer->OnResponseHead(answer);
  send(i).observer->OnEnd();
}

void ForwardingHarness::Stream(std::size_t i, const std::string& bytes) {
  TargetResponseHead answer;
  answer.status = 200;
  answer.request = send(i).request;
  answer.is_signed = true;
  send(i).observer->OnResponseHead(answer);
  send(i).observer->OnBytes(bytes);
}

void ForwardingHarness::Fail(std::size_t i, ErrorCode code) {
  send(i).observer->OnFailed({code, "test"});
}

}  // namespace kingcupdrift::fakes
