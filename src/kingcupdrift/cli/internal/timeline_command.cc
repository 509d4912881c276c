#include "kingcupdrift/cli/internal/timeline_command.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

#include "kingcupdrift/cli/internal/fan_out.h"

namespace kingcupdrift::internal {
namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";

std::string GetStringMember(const Json& json, const char* key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Percent-encodes all but letters, digits, '-', '_', '.' and '~'.
std::string EncodeQuery(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                          c == '.' || c == '~';
    if (is_plain) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kHexDigits[byte >> 4];
    out += kHexDigits[byte & 0x0f];
  }
  return out;
}

std::string TargetOf(const TimelineFilter& filter) {
  return fmt::format("/admin/timeline?request={}&workspace={}",
                     EncodeQuery(filter.request),
                     EncodeQuery(filter.workspace));
}

Json EventJson(const CollectedEvent& event) {
  return {{"wall_us", event.wall_us},   {"logical", event.logical},
          {"instance", event.instance}, {"kind", event.kind},
          {"request", event.request},   {"workspace", event.workspace},
          {"engine", event.engine},     {"detail", event.detail}};
}

/// "12:00:00.000001".
std::string FormatMicroseconds(std::int64_t wall_us) {
  constexpr std::int64_t kPerSecond = 1'000'000;
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(
      WallTime(Duration(wall_us)));
  return fmt::format("{:%T}.{:06}", seconds, wall_us % kPerSecond);
}

std::string OrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

bool IsStart(const std::string& kind) {
  return kind == "request_arrived";
}

bool IsEnd(const std::string& kind) {
  return kind == "request_completed" || kind == "request_refused" ||
         kind == "request_failed" || kind == "request_unknown";
}

}  // namespace

std::vector<CollectedEvent> ParseEvents(const std::string& lines) {
  std::vector<CollectedEvent> out;
  std::istringstream in(lines);
  for (std::string line; std::getline(in, line);) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("wall_us") ||
        !json["wall_us"].is_number_integer()) {
      continue;
    }
    CollectedEvent event;
    event.wall_us = json["wall_us"].get<std::int64_t>();
    const auto logical = json.find("logical");
    if (logical != json.end() && logical->is_number_unsigned()) {
      event.logical = logical->get<std::uint32_t>();
    }
    event.instance = GetStringMember(json, "instance");
    event.kind = GetStringMember(json, "kind");
    event.request = GetStringMember(json, "request");
    event.workspace = GetStringMember(json, "workspace");
    event.engine = GetStringMember(json, "engine");
    event.detail = GetStringMember(json, "detail");
    out.push_back(std::move(event));
  }
  return out;
}

void OrderEvents(std::vector<CollectedEvent>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const CollectedEvent& a, const CollectedEvent& b) {
                     return std::tie(a.wall_us, a.logical, a.instance) <
                            std::tie(b.wall_us, b.logical, b.instance);
                   });
}

Json TraceJson(const std::vector<CollectedEvent>& events) {
  std::vector<std::string> instances;
  Json list = Json::array();
  const auto process_of = [&](const std::string& instance) {
    const auto it = std::find(instances.begin(), instances.end(), instance);
    const auto pid = it - instances.begin() + 1;
    if (it == instances.end()) {
      instances.push_back(instance);
      list.push_back({{"name", "process_name"},
                      {"ph", "M"},
                      {"pid", pid},
                      {"args", {{"name", instance}}}});
    }
    return pid;
  };
  for (const CollectedEvent& it : events) {
    const auto pid = process_of(it.instance);
    list.push_back({{"name", it.kind},
                    {"ph", "i"},
                    {"s", "p"},
                    {"ts", it.wall_us},
                    {"pid", pid},
                    {"tid", 0},
                    {"args", EventJson(it)}});
    if (!it.request.empty() && (IsStart(it.kind) || IsEnd(it.kind))) {
      list.push_back({{"name", "request"},
                      {"cat", "request"},
                      {"ph", IsStart(it.kind) ? "b" : "e"},
                      {"id", it.request},
                      {"ts", it.wall_us},
                      {"pid", pid},
                      {"tid", 0}});
    }
  }
  return {{"displayTimeUnit", "ms"}, {"traceEvents", list}};
}

ExitCode TimelineCommand::Run(const std::vector<Endpoint>& instances,
                              const TimelineFilter& filter,
                              const std::string& trace_file) {
  std::vector<CollectedEvent> events;
  std::size_t unanswered = 0;
  for (const InstanceResponse& it : QueryAllInstances(
           instances, TargetOf(filter), admin_, loop_, time_limit_)) {
    if (!it.body) {
      ++unanswered;
      io_.err << "No answer from " << ToString(it.instance) << ": "
              << it.body.error().detail << '\n';
      continue;
    }
    const std::vector<CollectedEvent> own = ParseEvents(*it.body);
    events.insert(events.end(), own.begin(), own.end());
  }
  OrderEvents(events);
  if (!trace_file.empty()) {
    const ExitCode written = WriteTrace(events, trace_file);
    if (written != ExitCode::kOk) {
      return written;
    }
  } else {
    Print(events);
  }
  if (unanswered > 0 || instances.empty()) {
    io_.err
        << "Next: the timeline is incomplete, as the instance list is empty or "
           "instances gave no answer ("
        << unanswered << "); check them with 'kingcupdrift config audit'.\n";
    return ExitCode::kUnreachable;
  }
  return ExitCode::kOk;
}

void TimelineCommand::Print(const std::vector<CollectedEvent>& events) {
  if (io_.is_json) {
    for (const CollectedEvent& it : events) {
      io_.out << EventJson(it).dump(-1, ' ', false,
                                    Json::error_handler_t::replace)
              << '\n';
    }
    return;
  }
  std::vector<std::vector<std::string>> rows = {{"TIME", "INSTANCE", "EVENT",
                                                 "REQUEST", "WORKSPACE",
                                                 "ENGINE", "DETAIL"}};
  for (const CollectedEvent& it : events) {
    rows.push_back({FormatMicroseconds(it.wall_us), it.instance, it.kind,
                    OrDash(it.request), OrDash(it.workspace), OrDash(it.engine),
                    it.detail});
  }
  WriteTable(rows, io_.out);
}

ExitCode TimelineCommand::WriteTrace(const std::vector<CollectedEvent>& events,
                                     const std::string& trace_file) {
  std::ofstream out(trace_file, std::ios::binary);
  WriteJson(TraceJson(events), out);
  out.close();
  if (!out) {
    return Fail(
        io_,
        {ErrorCode::kRefused, fmt::format("{}: cannot be written", trace_file)},
        "name another file with --trace.");
  }
  io_.err << "Wrote " << events.size() << " events to " << trace_file
          << "; open it in a trace viewer.\n";
  return ExitCode::kOk;
}

}  // namespace kingcupdrift::internal
