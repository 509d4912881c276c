#ifndef KINGCUPDRIFT_FORWARDING_INTERNAL_BUFFER_BUDGET_H_
#define KINGCUPDRIFT_FORWARDING_INTERNAL_BUFFER_BUDGET_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/telemetry/telemetry.h"

namespace kingcupdrift {

class BufferBudget;

/// A caller's connection whose unsent bytes are held in memory.
class BufferOwner {
 public:
  virtual ~BufferOwner() = default;
  virtual const RequestId& request() const = 0;
  /// Bytes held in this process for the caller's connection.
  virtual ByteCount GetUnsentBytes() const = 0;
  /// The same and those that the kernel holds, because the caller's side has
  /// not acknowledged them. It shrinks only if the caller reads.
  virtual ByteCount GetUndeliveredBytes() const = 0;
  /// Bytes that have arrived from the engine and were not read.
  virtual ByteCount GetUnreadBytes() const = 0;
  /// Stops or resumes reading from the engine that sends the bytes.
  virtual void SetEnginePaused(bool is_paused) = 0;
  /// Aborts the answer and frees its bytes. The account is closed already.
  virtual void Yield() = 0;
};

/// The account of one caller's connection. Must not outlive the budget, nor its
/// owner. All methods but `Open` do nothing while it is closed.
class BufferAccount {
 public:
  BufferAccount(BufferBudget& budget, BufferOwner& owner)
      : budget_(budget), owner_(owner) {}
  ~BufferAccount() { Close(); }
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  void Open();
  void Close();
  /// To be called before each write, so that the bytes written are told from
  /// those that the connection has taken since.
  void HandleBeforeWrite();
  /// To be called after each write. `remaining` is an estimate of the bytes
  /// that the engine will still send; absent without one.
  void HandleWritten(std::optional<ByteCount> remaining);
  /// The connection has taken all bytes.
  void HandleDrained();
  /// The paused engine's connection has ended; the next one is not paused.
  void ForgetPause() { SetPaused(false, false); }

 private:
  friend class BufferBudget;

  void SetPaused(bool is_paused, bool tells_owner);
  /// Reads the unsent bytes.
  void UpdateHeld();
  void SetInKernel(ByteCount bytes);
  ByteCount total() const { return held_ + in_kernel_; }

  BufferBudget& budget_;
  BufferOwner& owner_;
  bool is_open_ = false;
  bool is_paused_ = false;
  ByteCount held_;
  // Bytes that the kernel held for both connections at the last check. Zero
  // while no checks are needed.
  ByteCount in_kernel_;
  // As of the last check, plus what was written since.
  ByteCount undelivered_;
  MonotonicTime last_progress_{};
  // Number of the budget's last check that saw this account.
  std::uint64_t check_ = 0;
};

/// Bytes that cannot yield, such as a request's body. Not to outlive the
/// budget.
class BufferCharge {
 public:
  explicit BufferCharge(BufferBudget& budget) : budget_(budget) {}
  ~BufferCharge() { Set(ByteCount(0)); }
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  void Set(ByteCount bytes);

 private:
  BufferBudget& budget_;
  ByteCount bytes_;
};

/// An answer that is not complete.
class UnfinishedAnswer {
 public:
  virtual ~UnfinishedAnswer() = default;
  virtual const RequestId& request() const = 0;
  /// Ends the attempt and frees its bytes. May destroy the answer.
  virtual void AbortUnfinished() = 0;
};

/// The bytes that are held for an answer until it, its head or one of its
/// events is complete. Must not outlive the budget, nor its answer.
class UnfinishedAccount {
 public:
  UnfinishedAccount(BufferBudget& budget, UnfinishedAnswer& answer)
      : budget_(budget), answer_(answer) {}
  ~UnfinishedAccount() { Set(ByteCount(0)); }
  UnfinishedAccount(const UnfinishedAccount&) = delete;
  UnfinishedAccount& operator=(const UnfinishedAccount&) = delete;

  /// Aborts nothing before the next turn of the event loop.
  void Set(ByteCount bytes);

 private:
  friend class BufferBudget;

  BufferBudget& budget_;
  UnfinishedAnswer& answer_;
  ByteCount bytes_;
};

/// Bounds the memory that is held for requests, for callers and engines that
/// read slowly, and for answers that are not complete.
/// Each connection may hold as much as `GetConnectionLimit`; beyond it, its
/// engine is paused. The limit shrinks as the total grows, so those that hold
/// the most are paused first. Once the total exceeds `abort_mark`, answers
/// whose callers read nothing for `kUnreadTime` are aborted, those that hold
/// the most first, and unfinished answers, the largest first: a faulty engine
/// may send an answer, or other bytes, without end. Without a memory limit, a
/// connection may hold `kMaxConnectionBytes` and nothing else is bounded.
class BufferBudget {
 public:
  /// `memory_limit`: that of the process; absent without one. `clock` and `log`
  /// outlive the budget.
  BufferBudget(Clock& clock,
               DecisionLog& log,
               std::optional<ByteCount> memory_limit);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  bool has_limit() const { return has_limit_; }
  /// All bytes held, with those that cannot yield and those in the kernel.
  ByteCount held() const { return held_; }
  /// From here on the connections' limit shrinks.
  ByteCount pause_mark() const { return pause_mark_; }
  ByteCount abort_mark() const { return abort_mark_; }
  /// Reaches its least value at three quarters of the way from `pause_mark` to
  /// `abort_mark`, so that one more read from each engine fits below the
  /// latter.
  ByteCount GetConnectionLimit() const;
  /// The total exceeds `abort_mark`, and no answer may be aborted: new requests
  /// are to be refused. Aborts answers that may be, unfinished ones in the next
  /// turn of the event loop.
  bool IsFull();

  std::uint64_t pauses() const { return pauses_; }
  std::uint64_t aborts() const { return aborts_; }
  std::uint64_t unfinished_aborts() const { return unfinished_aborts_; }

  /// Most bytes that one connection may hold.
  static constexpr ByteCount kMaxConnectionBytes{256'000};
  /// What one connection may hold however full the memory is: a resumed engine
  /// sends one read of this size, so that a slow caller never waits for the
  /// engine.
  static constexpr ByteCount kMinConnectionBytes{16'000};
  /// An engine that will send at most this much is not paused below
  /// `abort_mark`: a pause saves little and the engine might cut the answer
  /// off.
  static constexpr ByteCount kFewBytes{16'000};
  /// A paused engine is resumed when its connection holds this much less than
  /// the limit, or three quarters of a small limit. A small step lets the
  /// engine send often, before it takes the answer for unread.
  static constexpr ByteCount kResumeStep{16'000};
  /// An answer of which the caller has read nothing for this long may be
  /// aborted. The network stack of a caller that reads 300 bytes a second
  /// reports that once per segment of about 1,460 bytes.
  static constexpr Duration kUnreadTime = std::chrono::seconds(5);
  /// Interval of the checks while engines are paused or the total exceeds
  /// `pause_mark`. A check costs one system call for each connection, and
  /// another one for each paused engine.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
  /// Parts of the memory limit at the two marks. The rest is for the program,
  /// its state, what the account leaves out, and the memory that buffers of
  /// short events take besides their bytes (see docs/design/slow-readers.md).
  static constexpr double kPauseShare = 0.2;
  static constexpr double kAbortShare = 0.4;
  /// Part of the memory limit up to which unfinished answers are spared as long
  /// as others that callers do not read may be aborted.
  static constexpr double kUnfinishedShare = 0.2;

 private:
  friend class BufferAccount;
  friend class BufferCharge;
  friend class UnfinishedAccount;

  bool NeedsChecks() const;
  void ScheduleCheck();
  void Check();
  /// Reads what the connections hold and which callers have read.
  void Refresh();
  void ForgetKernelBytes();
  void ResumeEngines();
  /// Aborts answers in the next turn of the event loop if the total exceeds
  /// `abort_mark`.
  void ScheduleAborts();
  void AbortUnread();
  /// Aborts unfinished answers that hold more than `kMinConnectionBytes`, the
  /// largest first, until the total is below `abort_mark` or they hold at most
  /// `spared` together.
  void AbortUnfinished(ByteCount spared);
  bool MayAbort(const BufferAccount& account) const;

  Clock& clock_;
  DecisionLog& log_;
  bool has_limit_;
  ByteCount pause_mark_;
  ByteCount abort_mark_;
  ByteCount spared_unfinished_;
  ByteCount held_;
  std::set<BufferAccount*> accounts_;
  // The unfinished answers that may be aborted, and their bytes.
  std::set<UnfinishedAccount*> unfinished_;
  ByteCount unfinished_bytes_;
  std::size_t paused_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t aborts_ = 0;
  std::uint64_t unfinished_aborts_ = 0;
  std::uint64_t check_ = 1;
  MonotonicTime checked_at_{};
  std::unique_ptr<Timer> check_timer_;
  std::unique_ptr<Timer> abort_timer_;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_INTERNAL_BUFFER_BUDGET_H_
