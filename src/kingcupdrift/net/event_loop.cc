#include "kingcupdrift/net/event_loop.h"

#include <event2/event.h>
#include <time.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/timer_queue.h"

namespace kingcupdrift {
namespace {

const Logger kLog("loop");

/// On an entry with an eighth of a core, an iteration of this length delays
/// heartbeats, timers and answers by 160 ms.
constexpr Duration kLongIterationTime = std::chrono::milliseconds(20);

Duration GetThreadCpuTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

EventBaseHandle CreateBase() {
  event_config* const config = event_config_new();
  // Timers start at the current time, not at the start of the loop iteration.
  event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
  EventBaseHandle base(event_base_new_with_config(config));
  event_config_free(config);
  if (!base) {
    kLog.Error("Cannot create the libevent event base.");
    std::abort();
  }
  return base;
}

/// A timer of a queue, removed when this object is destroyed.
class QueueTimer : public Timer {
 public:
  QueueTimer(TimerQueue& queue,
             MonotonicTime due,
             std::function<void()> callback)
      : queue_(queue), key_(queue.Add(due, std::move(callback))) {}
  ~QueueTimer() override { queue_.Remove(key_); }
  QueueTimer(const QueueTimer&) = delete;
  QueueTimer& operator=(const QueueTimer&) = delete;

 private:
  TimerQueue& queue_;
  TimerQueue::Key key_;
};

}  // namespace

struct EventLoop::Impl {
  struct SignalHandler {
    EventHandle event;
    std::function<void()> handler;
  };

  explicit Impl(TimeSource now_in) : now(std::move(now_in)) {}
  ~Impl() {
    // Callbacks may own timers of either queue.
    tasks.Clear();
    timers.Clear();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  static void HandleWakeup(evutil_socket_t, short, void* arg) {
    event_base_loopbreak(static_cast<Impl*>(arg)->base.get());
  }

  static void HandleSignal(evutil_socket_t, short, void* arg) {
    static_cast<SignalHandler*>(arg)->handler();
  }

  void RunIteration() {
    is_interrupted = false;
    const MonotonicTime start = now();
    SetWakeup(start);
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    event_del(wakeup.get());
    RunDue(tasks, now());
    RunTimers(start);
  }

  void SetWakeup(MonotonicTime from) {
    std::optional<MonotonicTime> next = timers.GetNextDue();
    if (tasks.GetNextDue()) {
      next = from;
    }
    if (next) {
      const timeval delay = ToTimeval(*next - from);
      event_add(wakeup.get(), &delay);
    }
  }

  /// Runs the timers that are due, in an iteration that began at `start`.
  void RunTimers(MonotonicTime start) {
    const MonotonicTime due_until = now();
    const auto next = timers.GetNextDue();
    if (is_interrupted || !next || *next > due_until) {
      return;
    }
    // A wait that ends because the process was stopped and continued reports no
    // sockets, and one poll reports a part of many.
    if (*next > start || due_until - *next > kOnTime) {
      HandleReadySockets(std::min(due_until - *next, kMaxReadTime));
    }
    RunDue(timers, due_until);
  }

  /// Handles sockets and tasks until none is ready, but no longer than `limit`,
  /// so that timers also run in a loop that always has work.
  void HandleReadySockets(Duration limit) {
    const MonotonicTime start = now();
    const timeval delay = ToTimeval(limit);
    event_add(wakeup.get(), &delay);
    bool is_idle = false;
    for (int i = 0; i < kMaxPolls && !is_idle && !is_interrupted &&
                    (i == 0 || now() - start < limit);
         ++i) {
      event_base_get_max_events(base.get(), EVENT_BASE_COUNT_ACTIVE, 1);
      event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      RunDue(tasks, now());
      is_idle = event_base_get_max_events(base.get(), EVENT_BASE_COUNT_ACTIVE,
                                          1) == 0 &&
                !tasks.GetNextDue();
    }
    event_del(wakeup.get());
  }

  void RunDue(TimerQueue& queue, MonotonicTime due_until) {
    for (const TimerQueue::Key& it : queue.FindDue(due_until)) {
      if (is_interrupted) {
        return;
      }
      queue.Run(it);
    }
  }

  /// A timer that is later than this has waited for other work.
  static constexpr Duration kOnTime = std::chrono::milliseconds(1);
  /// Longest time for which late timers wait while sockets are read.
  static constexpr Duration kMaxReadTime = std::chrono::seconds(1);
  /// Bounds the polls in a row if time does not advance.
  static constexpr int kMaxPolls = 10'000;

  TimeSource now;
  EventBaseHandle base = CreateBase();
  EventHandle wakeup{event_new(base.get(), -1, 0, &HandleWakeup, this)};
  // Callbacks without a delay.
  TimerQueue tasks;
  TimerQueue timers;
  std::vector<std::unique_ptr<SignalHandler>> signals;
  Duration max_iteration_cpu_time{0};
  bool is_stopped = false;
  // `Stop` was called in this iteration.
  bool is_interrupted = false;
};

EventLoop::EventLoop(TimeSource now)
    : impl_(std::make_unique<Impl>(std::move(now))) {
  // A write to a connection that the other side closed then returns an error
  // instead of raising a signal.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

event_base* EventLoop::base() const {
  return impl_->base.get();
}

void EventLoop::Post(std::function<void()> task) {
  impl_->tasks.Add(impl_->now(), std::move(task));
}

std::unique_ptr<Timer> EventLoop::RunAfter(Duration delay,
                                           std::function<void()> callback) {
  const bool is_task = delay <= Duration::zero();
  const MonotonicTime now = impl_->now();
  return std::make_unique<QueueTimer>(is_task ? impl_->tasks : impl_->timers,
                                      is_task ? now : now + delay,
                                      std::move(callback));
}

MonotonicTime EventLoop::Now() const {
  return impl_->now();
}

MonotonicTime EventLoop::GetSystemTime() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return MonotonicTime(std::chrono::duration_cast<Duration>(now));
}

void EventLoop::AddSignalHandler(int signal, std::function<void()> handler) {
  auto entry = std::make_unique<Impl::SignalHandler>();
  entry->handler = std::move(handler);
  entry->event.reset(evsignal_new(impl_->base.get(), signal,
                                  &Impl::HandleSignal, entry.get()));
  event_add(entry->event.get(), nullptr);
  impl_->signals.push_back(std::move(entry));
}

void EventLoop::RunIteration() {
  const Duration before = GetThreadCpuTime();
  impl_->RunIteration();
  const Duration used = GetThreadCpuTime() - before;
  impl_->max_iteration_cpu_time = std::max(impl_->max_iteration_cpu_time, used);
  if (used >= kLongIterationTime) {
    kLog.Info("One iteration of the event loop took {} ms of processor time.",
              used / std::chrono::milliseconds(1));
  }
}

void EventLoop::Run() {
  impl_->is_stopped = false;
  while (!impl_->is_stopped) {
    RunIteration();
  }
}

void EventLoop::Stop() {
  impl_->is_stopped = true;
  impl_->is_interrupted = true;
  event_base_loopbreak(impl_->base.get());
}

bool EventLoop::RunUntil(const std::function<bool()>& is_done, Duration limit) {
  bool has_timed_out = false;
  const auto timer = RunAfter(limit, [&] { has_timed_out = true; });
  while (!is_done()) {
    if (has_timed_out) {
      return false;
    }
    RunIteration();
  }
  return true;
}

Duration EventLoop::GetMaxIterationCpuTime() const {
  return impl_->max_iteration_cpu_time;
}

void EventLoop::ResetMaxIterationCpuTime() {
  impl_->max_iteration_cpu_time = Duration::zero();
}

}  // namespace kingcupdrift
