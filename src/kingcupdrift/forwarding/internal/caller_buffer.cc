#include "kingcupdrift/forwarding/internal/caller_buffer.h"

#include <algorithm>

namespace kingcupdrift {

CallerBuffer::CallerBuffer(BufferBudget& budget,
                           const ForwardCall& call,
                           ForwardSink& sink,
                           Request& owner)
    : call_(call),
      sink_(sink),
      owner_(owner),
      body_(budget),
      unfinished_(budget, *this),
      account_(budget, *this) {
  body_.Set(ByteCount(static_cast<std::int64_t>(call_.body->size())));
}

void CallerBuffer::Write(std::string_view events,
                         std::optional<std::uint64_t> last_event) {
  account_.HandleBeforeWrite();
  sink_.Write(events);
  written_ += static_cast<std::int64_t>(events.size());
  account_.HandleWritten(EstimateRemaining(last_event));
}

void CallerBuffer::HandleAttemptEnd() {
  account_.ForgetPause();
  SetUnfinished(0);
}

void CallerBuffer::Close() {
  account_.Close();
  SetUnfinished(0);
  body_.Set(ByteCount(0));
}

std::optional<ByteCount> CallerBuffer::EstimateRemaining(
    std::optional<std::uint64_t> last_event) const {
  const std::uint64_t first = call_.last_event_id.value_or(0);
  if (!call_.prompt || !last_event || *last_event <= first) {
    return std::nullopt;
  }
  const std::int64_t total = call_.prompt->max_output.value();
  if (*last_event >
      static_cast<std::uint64_t>(std::max<std::int64_t>(total, 0))) {
    // The numbers of the events don't count tokens.
    return std::nullopt;
  }
  const std::int64_t left = total - static_cast<std::int64_t>(*last_event);
  const std::int64_t events = static_cast<std::int64_t>(*last_event - first);
  return ByteCount(left * (written_ / events + 1));
}

}  // namespace kingcupdrift
