#ifndef KINGCUPDRIFT_CLI_INTERNAL_TIMELINE_COMMAND_H_
#define KINGCUPDRIFT_CLI_INTERNAL_TIMELINE_COMMAND_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupdrift/cli/internal/admin_client.h"
#include "kingcupdrift/cli/internal/command_io.h"
#include "kingcupdrift/cli/internal/command_loop.h"

namespace kingcupdrift::internal {

/// One event as an instance reported it.
struct CollectedEvent {
  std::int64_t wall_us = 0;
  std::uint32_t logical = 0;
  std::string instance;
  std::string kind;
  std::string request;
  std::string workspace;
  std::string engine;
  std::string detail;
};

/// Parses JSON lines; skips lines that are not events.
std::vector<CollectedEvent> ParseEvents(const std::string& lines);
/// Sorts by hybrid time, then by instance.
void OrderEvents(std::vector<CollectedEvent>& events);
/// Formats events for a trace viewer (trace-event JSON): one process for each
/// instance, an instant mark for each event, and a span for each request from
/// its arrival to its end.
Json TraceJson(const std::vector<CollectedEvent>& events);

/// Selects events; an empty field matches all.
struct TimelineFilter {
  std::string request;
  std::string workspace;
};

/// `timeline`: collects the events of all instances and sorts them by time.
class TimelineCommand {
 public:
  TimelineCommand(AdminClient& admin,
                  CommandLoop& loop,
                  Duration time_limit,
                  const CommandIo& io)
      : admin_(admin), loop_(loop), time_limit_(time_limit), io_(io) {}

  /// Prints the events or, if `trace_file` is not empty, writes a trace to that
  /// file instead. Returns kFailure if the file cannot be written, kUnreachable
  /// if an instance gave no usable answer or `instances` is empty.
  ExitCode Run(const std::vector<Endpoint>& instances,
               const TimelineFilter& filter,
               const std::string& trace_file);

 private:
  void Print(const std::vector<CollectedEvent>& events);
  ExitCode WriteTrace(const std::vector<CollectedEvent>& events,
                      const std::string& trace_file);

  AdminClient& admin_;
  CommandLoop& loop_;
  Duration time_limit_;
  const CommandIo& io_;
};

}  // namespace kingcupdrift::internal

#endif  // KINGCUPDRIFT_CLI_INTERNAL_TIMELINE_COMMAND_H_
