#include "kingcupdrift/net/event_loop.h"

#include <event2/event.h>
#include <time.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>
#include <vector>

#include "kingcupdrift/net/internal/libevent_handles.h"

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

}  // namespace

struct EventLoop::Impl {
  struct SignalHandler {
    EventHandle event;
    std::function<void()> handler;
  };

  static void RunTasks(evutil_socket_t, short, void* arg) {
    auto& impl = *static_cast<Impl*>(arg);
    std::vector<std::function<void()>> tasks;
    tasks.swap(impl.tasks);
    for (const auto& task : tasks) {
      task();
    }
  }

  static void HandleSignal(evutil_socket_t, short, void* arg) {
    static_cast<SignalHandler*>(arg)->handler();
  }

  EventBaseHandle base = CreateBase();
  EventHandle task_event{event_new(base.get(), -1, 0, &RunTasks, this)};
  std::vector<std::function<void()>> tasks;
  std::vector<std::unique_ptr<SignalHandler>> signals;
  Duration max_iteration_cpu_time{0};
  bool is_stopped = false;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  // A write to a connection that the other side closed then returns an error
  // instead of raising a signal.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

event_base* EventLoop::base() const {
  return impl_->base.get();
}

void EventLoop::Post(std::function<void()> task) {
  impl_->tasks.push_back(std::move(task));
  // A timer with zero delay runs in the next loop iteration; event_active would
  // still run in this one.
  const timeval now{};
  event_add(impl_->task_event.get(), &now);
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
  event_base_loop(impl_->base.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
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
  event_base_loopbreak(impl_->base.get());
}

bool EventLoop::RunUntil(const std::function<bool()>& is_done, Duration limit) {
  bool has_timed_out = false;
  const EventHandle timer(event_new(
      impl_->base.get(), -1, 0,
      [](evutil_socket_t, short, void* arg) {
        *static_cast<bool*>(arg) = true;
      },
      &has_timed_out));
  const timeval delay = ToTimeval(limit);
  event_add(timer.get(), &delay);
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
