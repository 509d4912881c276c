#include "tests/fakes/engine_model.h"

#include <algorithm>

#include "tests/fakes/answer_text.h"
#include "tests/fakes/engine_model_stream.h"

namespace kingcupdrift::fakes {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Weight of the newest iteration in the measured rates.
constexpr double kRateSmoothing = 0.2;
/// Maximum size of a chunk sent when a stream catches up.
constexpr std::uint64_t kMaxChunkTokens = 256;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * kMicrosPerSecond));
}

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

void Smooth(double& rate, double sample) {
  rate = rate == 0 ? sample : rate + kRateSmoothing * (sample - rate);
}

PrefixCacheOptions CacheOptions(const EngineModelOptions& options) {
  PrefixCacheOptions cache;
  cache.capacity =
      static_cast<std::size_t>(options.cache.value() / options.block.value());
  cache.event_lag = options.cache_event_lag;
  cache.lost_share = options.cache_event_lost_share;
  return cache;
}

}  // namespace

bool EngineModel::ByPriorityThenAge::operator()(const Stream* a,
                                                const Stream* b) const {
  if (a->request.priority != b->request.priority) {
    return a->request.priority > b->request.priority;
  }
  return a->arrival < b->arrival;
}

EngineModel::EngineModel(EngineModelOptions options, Clock& clock)
    : options_(std::move(options)),
      clock_(clock),
      random_(options_.seed),
      cache_(CacheOptions(options_), clock, random_) {
  TakeSnapshot();
}

EngineModel::~EngineModel() = default;

Result<TokenCount> EngineModel::Start(EngineModelRequest request,
                                      EngineStreamObserver* observer) {
  if (streams_.contains(request.attempt)) {
    return MakeError(ErrorCode::kRefused, "attempt already started");
  }
  if (waiting_.size() >= options_.max_waiting) {
    return MakeError(ErrorCode::kOverloaded, "too many waiting requests");
  }
  if (const Result<void> checked = CheckMemory(request); !checked) {
    return tl::unexpected(checked.error());
  }
  auto stream = std::make_unique<Stream>();
  stream->request = std::move(request);
  const EngineModelRequest& accepted = stream->request;
  stream->observer = observer;
  stream->arrival = next_arrival_++;
  stream->generated = accepted.emitted_tokens;
  stream->sent = accepted.emitted_tokens;
  stream->total = std::max<std::uint64_t>(accepted.max_output_tokens.value(),
                                          accepted.emitted_tokens);
  stream->expiry = clock_.Now() + accepted.time_left;
  const AttemptId attempt = accepted.attempt;
  stream->expiry_timer =
      clock_.RunAfter(accepted.time_left, [this, attempt] { Expire(attempt); });
  const TokenCount cached(std::min<std::int64_t>(
      accepted.prompt_tokens.value(),
      static_cast<std::int64_t>(
          cache_.CountCachedPrefix(accepted.prompt.blocks) *
          options_.block.value())));
  ++counters_.runs_by_attempt[attempt];
  ++counters_.runs_by_request[accepted.request];
  waiting_.insert(stream.get());
  streams_.emplace(attempt, std::move(stream));
  WakeUp();
  return cached;
}

Result<void> EngineModel::CheckMemory(const EngineModelRequest& request) const {
  if (!request.reservation.empty() &&
      !holds_.contains(
          {HoldingKind::kReservation, request.reservation.value()})) {
    return MakeError(ErrorCode::kRefused, "unknown reservation");
  }
  if (ComputeUnreservedMemory(request) > options_.memory) {
    return MakeError(ErrorCode::kRefused,
                     "request exceeds the engine's memory");
  }
  return {};
}

TokenCount EngineModel::ComputeUnreservedMemory(
    const EngineModelRequest& request) const {
  TokenCount need = request.prompt_tokens + request.max_output_tokens;
  need -= request.group_memory;
  const auto it =
      holds_.find({HoldingKind::kReservation, request.reservation.value()});
  if (it != holds_.end()) {
    need -= it->second.request.tokens;
  }
  return std::max(need, TokenCount(0));
}

void EngineModel::Admit() {
  while (!waiting_.empty() &&
         prefilling_.size() + decoding_.size() < options_.max_running_streams) {
    Stream& stream = **waiting_.begin();
    const TokenCount need = ComputeUnreservedMemory(stream.request);
    if (need > GetFreeMemory()) {
      return;
    }
    waiting_.erase(waiting_.begin());
    held_ += need;
    stream.own_memory = need;
    const EngineModelRequest& request = stream.request;
    // The last prompt token is always computed, since it yields the first
    // answer token.
    const std::int64_t cached = std::min<std::int64_t>(
        request.prompt_tokens.value() - 1,
        static_cast<std::int64_t>(
            cache_.CountCachedPrefix(request.prompt.blocks) *
            options_.block.value()));
    stream.cached = TokenCount(std::max<std::int64_t>(cached, 0));
    counters_.cached_tokens += stream.cached.value();
    stream.remaining_prefill_tokens = std::max<std::int64_t>(
        1, request.prompt_tokens.value() - stream.cached.value() +
               static_cast<std::int64_t>(request.emitted_tokens));
    stream.phase = Phase::kPrefill;
    prefilling_.insert(&stream);
  }
}

double EngineModel::ComputeGroupPrefillRate(const Stream& stream) const {
  const double others = stream.request.group_size - 1;
  return options_.prefill_rate * (1 + others * options_.group_efficiency);
}

double EngineModel::PlanPrefill() {
  prefill_plan_.clear();
  const double budget =
      static_cast<double>(options_.max_prefill_chunk.value()) /
      options_.prefill_rate;
  double used = 0;
  for (Stream* stream : prefilling_) {
    const double speed = ComputeGroupPrefillRate(*stream);
    const auto fits = static_cast<std::int64_t>((budget - used) * speed);
    const std::int64_t n = std::min(stream->remaining_prefill_tokens, fits);
    if (n <= 0) {
      break;
    }
    prefill_plan_.push_back({stream, n});
    used += static_cast<double>(n) / speed;
  }
  return used;
}

void EngineModel::BeginIteration() {
  Admit();
  iteration_prefill_seconds_ = PlanPrefill();
  iteration_time_ = FromSeconds(iteration_prefill_seconds_);
  if (!decoding_.empty()) {
    iteration_time_ +=
        options_.decode_step + options_.decode_step_per_stream *
                                   static_cast<Duration::rep>(decoding_.size());
  }
  if (prefill_plan_.empty() && decoding_.empty()) {
    return;
  }
  iteration_time_ = std::max(iteration_time_, Duration(1));
  iteration_timer_ =
      clock_.RunAfter(iteration_time_, [this] { EndIteration(); });
}

void EngineModel::EndIteration() {
  iteration_timer_.reset();
  const std::vector<Stream*> decoded = decoding_;
  if (!decoded.empty()) {
    Smooth(measured_decode_rate_, 1 / ToSeconds(iteration_time_));
  }
  ApplyPrefill();
  for (Stream* stream : decoded) {
    Generate(*stream);
  }
  BeginIteration();
}

void EngineModel::ApplyPrefill() {
  const std::vector<PrefillShare> plan = std::move(prefill_plan_);
  prefill_plan_.clear();
  std::int64_t done = 0;
  for (const PrefillShare& share : plan) {
    Stream& stream = *share.stream;
    done += share.tokens;
    stream.remaining_prefill_tokens -= share.tokens;
    if (stream.remaining_prefill_tokens > 0) {
      continue;
    }
    prefilling_.erase(&stream);
    cache_.Insert(stream.request.prompt.blocks);
    stream.phase = Phase::kDecode;
    decoding_.push_back(&stream);
    Generate(stream);
  }
  counters_.prefilled_tokens += done;
  if (done > 0 && iteration_prefill_seconds_ > 0) {
    Smooth(measured_prefill_rate_,
           static_cast<double>(done) / iteration_prefill_seconds_);
  }
}

void EngineModel::Generate(Stream& stream) {
  if (stream.generated < stream.total) {
    ++stream.generated;
  }
  if (stream.generated >= stream.total) {
    Finish(stream);
  }
  Send(stream);
}

void EngineModel::Finish(Stream& stream) {
  RemoveFromBatch(stream);
  stream.phase = Phase::kFinished;
  ++counters_.finished;
  const AttemptId attempt = stream.request.attempt;
  stream.expiry_timer =
      clock_.RunAfter(options_.finished_retention,
                      [this, attempt] { streams_.erase(attempt); });
}

void EngineModel::Send(Stream& stream) {
  if (stream.observer == nullptr || stream.is_paused) {
    return;
  }
  const bool is_finished = stream.phase == Phase::kFinished;
  const bool is_first = stream.sent == stream.request.emitted_tokens;
  const std::uint64_t enough =
      is_finished || is_first ? 1 : options_.tokens_per_chunk;
  while (stream.sent + enough <= stream.generated) {
    const std::uint64_t n =
        std::min(stream.generated - stream.sent, kMaxChunkTokens);
    EngineChunk chunk{stream.request.attempt, stream.sent,
                      static_cast<std::uint32_t>(n),
                      AnswerText(stream.request.prompt.answer_seed, stream.sent,
                                 stream.sent + n)};
    stream.sent += n;
    stream.observer->OnChunk(std::move(chunk));
  }
  if (is_finished && stream.sent >= stream.total) {
    EngineStreamObserver* observer = stream.observer;
    stream.observer = nullptr;
    observer->OnFinished(FinishReason::kLength, stream.total);
  }
}

void EngineModel::WakeUp() {
  if (!iteration_timer_) {
    iteration_timer_ =
        clock_.RunAfter(Duration::zero(), [this] { EndIteration(); });
  }
}

}  // namespace kingcupdrift::fakes
