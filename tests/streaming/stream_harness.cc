#include "tests/streaming/stream_harness.h"

#include <doctest/doctest.h>

#include <chrono>
#include <utility>

#include "tests/fakes/answer_text.h"

namespace kingcupdrift {
namespace {

constexpr std::uint64_t kAnswerTokens = 100;
constexpr Duration kRunLimit = std::chrono::seconds(60);
const std::string kBody = R"({"prompt":"crawling glaze"})";

fakes::FakeEngineClientOptions ClientOptions() {
  fakes::FakeEngineClientOptions options;
  options.owner = InstanceId("entry-1");
  return options;
}

}  // namespace

StreamHarness::StreamHarness(StreamLimits limits)
    : fleet(clock), client(ClientOptions(), fleet, clock) {
  for (const char* id : {"e1", "e2"}) {
    fakes::EngineModelOptions options;
    options.id = EngineId(id);
    options.tokens_per_chunk = 3;
    fleet.Add(options);
  }
  session = std::make_unique<StreamSession>(clock, client, *this, limits);
}

void StreamHarness::OnAccepted(TokenCount /*cached*/) {
  ++accepted;
}

void StreamHarness::OnChunk(const AnswerChunk& chunk) {
  CHECK(!end);
  CHECK(chunk.offset == next_offset);
  next_offset += chunk.token_count;
  text += chunk.text;
}

void StreamHarness::OnFinished(const AnswerEnd& answer_end) {
  CHECK(!end);
  end = answer_end;
}

void StreamHarness::OnResumed(std::uint64_t offset) {
  resumed_at.push_back(offset);
}

void StreamHarness::OnAttemptFailed(const AttemptFailure& failure) {
  failures.push_back(failure);
  if (!failover_engine.empty()) {
    Start(failover_engine, fmt::format("attempt{}", failures.size() + 1));
  }
}

void StreamHarness::Start(const std::string& engine,
                          const std::string& attempt) {
  EngineStreamRequest request;
  request.request = RequestId("r");
  request.attempt = AttemptId(attempt);
  request.body = std::make_shared<const std::string>(kBody);
  request.prompt_tokens = TokenCount(1000);
  request.max_output_tokens = TokenCount(kAnswerTokens);
  request.time_left = std::chrono::seconds(60);
  session->StartAttempt(EngineAddress{EngineId(engine), Endpoint()},
                        std::move(request));
}

bool StreamHarness::RunToEnd() {
  return clock.AdvanceUntil(
      [&] { return end || (!failures.empty() && !session->is_running()); },
      kRunLimit);
}

bool StreamHarness::RunUntilTokens(std::uint64_t tokens) {
  return clock.AdvanceUntil([&] { return next_offset >= tokens; }, kRunLimit);
}

bool StreamHarness::HasWholeAnswer() const {
  if (!end || end->total_tokens != next_offset) {
    return false;
  }
  return text ==
         fakes::AnswerText(fakes::AnswerSeed(kBody), 0, end->total_tokens);
}

fakes::EngineModel& StreamHarness::model(const std::string& engine) {
  return *fleet.Find(EngineId(engine));
}

void StreamHarness::SetFault(const std::string& engine,
                             fakes::EngineLinkFault fault) {
  fleet.SetFault(EngineId(engine), fault);
}

}  // namespace kingcupdrift
