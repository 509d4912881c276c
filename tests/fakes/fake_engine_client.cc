#include "tests/fakes/fake_engine_client.h"

#include <utility>

#include "tests/fakes/answer_text.h"
#include "tests/fakes/fake_engine_stream.h"

namespace kingcupdrift::fakes {
namespace {

EngineModelRequest ToModelRequest(const EngineStreamRequest& request,
                                  const FakeEngineClientOptions& options) {
  EngineModelRequest work;
  work.request = request.request;
  work.attempt = request.attempt;
  work.owner = options.owner;
  work.prompt = options.read_prompt(request);
  work.prompt_tokens = request.prompt_tokens;
  work.max_output_tokens = request.max_output_tokens;
  work.priority = request.priority;
  work.time_left = request.time_left;
  work.reservation = request.reservation;
  work.emitted_tokens = request.emitted_tokens;
  return work;
}

/// Adds the memory that the group's other members reserved for the attempt.
Result<void> AddGroup(const std::vector<EngineAddress>& group,
                      EngineFleet& fleet,
                      EngineModelRequest& work) {
  for (const EngineAddress& member : group) {
    const EngineModel* model = fleet.Find(member.id);
    if (model == nullptr ||
        model->GetReservedTokens(work.attempt) == TokenCount(0)) {
      return MakeError(ErrorCode::kRefused, "group member has no reservation");
    }
    ++work.group_size;
    work.group_memory += model->GetReservedTokens(work.attempt);
  }
  return {};
}

}  // namespace

PromptDigests DigestBodyOnly(const EngineStreamRequest& request) {
  return {request.body ? AnswerSeed(*request.body) : 0, {}};
}

FakeEngineClient::FakeEngineClient(FakeEngineClientOptions options,
                                   EngineFleet& fleet,
                                   Clock& clock)
    : options_(std::move(options)),
      fleet_(fleet),
      clock_(clock),
      replies_(std::make_shared<DelayedTaskRunner>(clock)) {}

FakeEngineClient::~FakeEngineClient() = default;

Duration FakeEngineClient::OneWay(const EngineId& engine) {
  return options_.latency + fleet_.fault(engine).delay;
}

std::unique_ptr<EngineStream> FakeEngineClient::Start(
    const EngineAddress& engine,
    const EngineStreamRequest& request,
    EngineStreamObserver& observer) {
  auto stream = std::make_unique<FakeEngineStream>(
      engine.id, request.attempt, options_.latency, fleet_, clock_, observer);
  stream->Open([work = ToModelRequest(request, options_), group = request.group,
                &fleet = fleet_](
                   EngineModel& model,
                   EngineStreamObserver* receiver) -> Result<TokenCount> {
    EngineModelRequest group_work = work;
    if (const Result<void> added = AddGroup(group, fleet, group_work); !added) {
      return tl::unexpected(added.error());
    }
    return model.Start(std::move(group_work), receiver);
  });
  return stream;
}

std::unique_ptr<EngineStream> FakeEngineClient::Resume(
    const EngineAddress& engine,
    const AttemptId& attempt,
    std::uint64_t offset,
    EngineStreamObserver& observer) {
  auto stream = std::make_unique<FakeEngineStream>(
      engine.id, attempt, options_.latency, fleet_, clock_, observer);
  stream->Open(
      [attempt, offset](EngineModel& model,
                        EngineStreamObserver* receiver) -> Result<TokenCount> {
        if (receiver == nullptr) {
          return TokenCount(0);
        }
        const Result<void> resumed = model.Resume(attempt, offset, receiver);
        if (!resumed) {
          return tl::unexpected(resumed.error());
        }
        return TokenCount(0);
      });
  return stream;
}

template <typename T>
void FakeEngineClient::CallModel(const EngineId& engine,
                                 ErrorCode no_answer_code,
                                 std::function<Result<T>(EngineModel&)> action,
                                 std::function<void(Result<T>)> callback) {
  if (is_closed_) {
    return;
  }
  if (fleet_.Find(engine) == nullptr) {
    fleet_.CountCallToUnknown();
  }
  const EngineLinkFault& fault = fleet_.fault(engine);
  if (fault.is_down || fleet_.Find(engine) == nullptr) {
    replies_->Post(options_.latency, [callback = std::move(callback)] {
      callback(MakeError(ErrorCode::kUnavailable, "connection refused"));
    });
    return;
  }
  if (fault.drops_messages_to_engine && !fault.affects_only_open_streams) {
    replies_->Post(options_.call_timeout, [callback, no_answer_code] {
      callback(MakeError(no_answer_code, "no answer"));
    });
    return;
  }
  const std::weak_ptr<DelayedTaskRunner> replies = replies_;
  fleet_.in_flight().Post(
      OneWay(engine),
      [&fleet = fleet_, engine, no_answer_code, replies, options = options_,
       action = std::move(action), callback = std::move(callback)] {
        const EngineLinkFault& current_fault = fleet.fault(engine);
        Result<T> result = MakeError(no_answer_code, "connection lost");
        Duration delay = options.latency + current_fault.delay;
        if (!current_fault.is_down) {
          result = action(*fleet.Find(engine));
        }
        const bool is_reply_dropped =
            current_fault.drops_messages_from_engine &&
            !current_fault.affects_only_open_streams;
        if (fleet.ConsumeLostReply(engine) || is_reply_dropped) {
          result = MakeError(no_answer_code, "no answer");
          delay = options.call_timeout;
        }
        if (const auto reply_runner = replies.lock()) {
          reply_runner->Post(delay, [callback, result] { callback(result); });
        }
      });
}

void FakeEngineClient::Cancel(const EngineAddress& engine,
                              const AttemptId& attempt,
                              DoneCallback callback) {
  CallModel<void>(
      engine.id, ErrorCode::kUnknownEffect,
      [attempt](EngineModel& model) -> Result<void> {
        model.Cancel(attempt);
        return {};
      },
      std::move(callback));
}

void FakeEngineClient::Reserve(const EngineAddress& engine,
                               const ReservationRequest& request,
                               DoneCallback callback) {
  CallModel<void>(
      engine.id, ErrorCode::kUnknownEffect,
      [request](EngineModel& model) { return model.Reserve(request); },
      std::move(callback));
}

void FakeEngineClient::Release(const EngineAddress& engine,
                               const ReservationId& reservation,
                               DoneCallback callback) {
  CallModel<void>(
      engine.id, ErrorCode::kUnknownEffect,
      [reservation](EngineModel& model) -> Result<void> {
        model.Release(reservation);
        return {};
      },
      std::move(callback));
}

void FakeEngineClient::ListHoldings(const EngineAddress& engine,
                                    HoldingsCallback callback) {
  CallModel<std::vector<EngineHolding>>(
      engine.id, ErrorCode::kConnectionLost,
      [](EngineModel& model) -> Result<std::vector<EngineHolding>> {
        return model.ListHoldings();
      },
      std::move(callback));
}

void FakeEngineClient::FetchReport(const EngineAddress& engine,
                                   ReportCallback callback) {
  CallModel<EngineReport>(
      engine.id, ErrorCode::kConnectionLost,
      [](EngineModel& model) -> Result<EngineReport> {
        return model.GetReport();
      },
      std::move(callback));
}

void FakeEngineClient::FetchCacheEvents(const EngineAddress& engine,
                                        std::uint64_t after_sequence,
                                        CacheEventsCallback callback) {
  CallModel<CacheEventBatch>(
      engine.id, ErrorCode::kConnectionLost,
      [after_sequence](EngineModel& model) -> Result<CacheEventBatch> {
        return model.GetCacheEvents(after_sequence);
      },
      std::move(callback));
}

void FakeEngineClient::SendPlacementOrder(const EngineAddress& engine,
                                          const PlacementOrder& order,
                                          DoneCallback callback) {
  CallModel<void>(
      engine.id, ErrorCode::kUnknownEffect,
      [order](EngineModel& model) { return model.ApplyPlacementOrder(order); },
      std::move(callback));
}

void FakeEngineClient::ExportCache(
    const EngineAddress& engine,
    const std::vector<std::uint64_t>& block_digests,
    CacheTransferCallback callback) {
  CallModel<SharedBytes>(
      engine.id, ErrorCode::kConnectionLost,
      [block_digests](EngineModel& model) {
        return model.ExportCache(block_digests);
      },
      std::move(callback));
}

void FakeEngineClient::ImportCache(const EngineAddress& engine,
                                   const ReservationRequest& holding,
                                   SharedBytes exported,
                                   DoneCallback callback) {
  CallModel<void>(
      engine.id, ErrorCode::kUnknownEffect,
      [holding, exported](EngineModel& model) {
        return model.ImportCache(holding, *exported);
      },
      std::move(callback));
}

}  // namespace kingcupdrift::fakes
