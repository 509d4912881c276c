#include "kingcupdrift/net/internal/process_metrics.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <cstdint>

namespace kingcupdrift {
namespace {

constexpr long kBytesPerKibibyte = 1024;

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1e6;
}

/// Writes metrics and adds the program's prefix to their names.
class MetricsWriter {
 public:
  void Declare(std::string_view name, std::string_view type) {
    text_ += fmt::format("# TYPE kingcupdrift_{} {}\n", name, type);
  }

  template <typename Number>
  void Write(std::string_view name, Number value) {
    text_ += fmt::format("kingcupdrift_{} {}\n", name, value);
  }

  void WriteTraffic(std::string_view link,
                    std::int64_t received,
                    std::int64_t sent) {
    constexpr std::string_view kRow =
        "kingcupdrift_link_bytes_total{{link=\"{}\",direction=\"{}\"}} {}\n";
    text_ += fmt::format(kRow, link, "in", received);
    text_ += fmt::format(kRow, link, "out", sent);
  }

  void WriteTraffic(std::string_view link, const HttpClient& client) {
    WriteTraffic(link, client.BytesReceived().value(),
                 client.BytesSent().value());
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

void WriteUsage(MetricsWriter& out) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  out.Declare("cpu_seconds_total", "counter");
  out.Write("cpu_seconds_total",
            ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime));
  out.Declare("max_resident_bytes", "gauge");
  out.Write("max_resident_bytes", usage.ru_maxrss * kBytesPerKibibyte);
}

void WritePeerFrames(MetricsWriter& out, const PeerLinkCounters& counters) {
  out.Declare("peer_frames_total", "counter");
  out.Write("peer_frames_total{result=\"sent\"}", counters.frames_sent);
  out.Write("peer_frames_total{result=\"received\"}", counters.frames_received);
  out.Write("peer_frames_total{result=\"dropped\"}", counters.frames_dropped);
  out.Write("peer_frames_total{result=\"refused\"}", counters.frames_refused);
  out.Declare("peer_reconnects_total", "counter");
  out.Write("peer_reconnects_total", counters.failed_connections);
}

}  // namespace

std::string ProcessMetricsText(const ProcessSources& sources) {
  MetricsWriter out;
  const std::chrono::duration<double> longest_iteration =
      sources.loop.GetMaxIterationCpuTime();
  // CPU time of the longest loop iteration since the start.
  out.Declare("loop_longest_turn_seconds", "gauge");
  out.Write("loop_longest_turn_seconds", longest_iteration.count());
  out.Declare("link_bytes_total", "counter");
  out.WriteTraffic("platform", sources.platform);
  out.WriteTraffic("engine_control", sources.engine_control);
  out.WriteTraffic("engine_data", sources.engine_data);
  out.Declare("invalid_answers_total", "counter");
  out.Write("invalid_answers_total",
            sources.engine_control.CountInvalidHeads() +
                sources.engine_data.CountInvalidHeads());
  const PeerLinkCounters& counters = sources.peers.counters();
  out.WriteTraffic("peers", static_cast<std::int64_t>(counters.bytes_received),
                   static_cast<std::int64_t>(counters.bytes_sent));
  WritePeerFrames(out, counters);
  WriteUsage(out);
  return out.text();
}

}  // namespace kingcupdrift
