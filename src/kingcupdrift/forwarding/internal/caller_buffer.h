#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_CALLER_BUFFER_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_CALLER_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kingcupdrift/forwarding/internal/buffer_budget.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The memory that one request holds: its body, what has come of an unfinished
/// answer or event, and bytes that wait for the caller.
class CallerBuffer : public BufferOwner, public UnfinishedAnswer {
 public:
  /// The request as its buffer uses it.
  class Request {
   public:
    virtual ~Request() = default;
    virtual void SetEnginePaused(bool is_paused) = 0;
    virtual ByteCount GetUnreadBytes() const = 0;
    /// Aborts the answer, whose caller does not read, to free its memory.
    virtual void YieldBuffer() = 0;
    /// Interrupts the attempt, whose answer is not complete, to free its
    /// memory.
    virtual void InterruptAttempt() = 0;
  };

  /// All references outlive the buffer.
  CallerBuffer(BufferBudget& budget,
               const ForwardCall& call,
               ForwardSink& sink,
               Request& owner);

  /// Starts the account of a stream.
  void Begin() { account_.Open(); }
  /// Writes whole events, the last of which is `last_event`.
  void Write(std::string_view events, std::optional<std::uint64_t> last_event);
  void HandleDrained() { account_.HandleDrained(); }
  /// Bytes that the attempt holds of an unfinished answer, head or event.
  void SetUnfinished(std::size_t bytes) {
    unfinished_.Set(ByteCount(static_cast<std::int64_t>(bytes)));
  }
  /// The connection to the engine has ended.
  void HandleAttemptEnd();
  /// The request has ended.
  void Close();

  const RequestId& request() const override { return call_.id; }
  ByteCount GetUnsentBytes() const override { return sink_.GetUnsentBytes(); }
  ByteCount GetUndeliveredBytes() const override {
    return sink_.GetUndeliveredBytes();
  }
  ByteCount GetUnreadBytes() const override { return owner_.GetUnreadBytes(); }
  void SetEnginePaused(bool is_paused) override {
    owner_.SetEnginePaused(is_paused);
  }
  void Yield() override { owner_.YieldBuffer(); }
  void AbortUnfinished() override { owner_.InterruptAttempt(); }

 private:
  /// An upper bound, since an event has at least one token; absent without a
  /// token limit or before the first event.
  std::optional<ByteCount> EstimateRemaining(
      std::optional<std::uint64_t> last_event) const;

  const ForwardCall& call_;
  ForwardSink& sink_;
  Request& owner_;
  std::int64_t written_ = 0;
  BufferCharge body_;
  UnfinishedAccount unfinished_;
  BufferAccount account_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_CALLER_BUFFER_H_
