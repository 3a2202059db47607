#include "gateway/ctl/trace.h"

#include <map>
#include <string>

#include "gateway/timeline_json.h"

namespace qp::ctl {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

/// Microseconds. Events of one millisecond follow in the order of their
/// counters, a microsecond apart, so that a viewer keeps cause before effect.
std::int64_t TimestampOf(const HybridTime& time) {
  const std::int64_t offset =
      std::min<std::int64_t>(time.counter, kMicrosPerMilli - 1);
  return time.millis * kMicrosPerMilli + offset;
}

nlohmann::json ProcessName(int process, const std::string& node) {
  return {{"name", "process_name"},
          {"ph", "M"},
          {"pid", process},
          {"tid", 0},
          {"args", {{"name", node}}}};
}

nlohmann::json InstantEvent(int process, const Event& event) {
  nlohmann::json arguments = {{"event", static_cast<int>(event.id)},
                              {"counter", event.time.counter}};
  for (const EventField& field : event.fields) {
    arguments[field.name] = field.value;
  }
  return {{"name", NameOf(event.id)},
          {"cat", "quetzalpost"},
          {"ph", "i"},
          {"s", "p"},  // Drawn across the process.
          {"ts", TimestampOf(event.time)},
          {"pid", process},
          {"tid", 0},
          {"args", std::move(arguments)}};
}

}  // namespace

nlohmann::json TraceViewerJson(std::span<const Event> events) {
  std::map<std::string, int> processes;
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : events) {
    const auto [process, is_new] = processes.try_emplace(
        event.node, static_cast<int>(processes.size()) + 1);
    if (is_new) {
      list.push_back(ProcessName(process->second, event.node));
    }
    list.push_back(InstantEvent(process->second, event));
  }
  return {{"traceEvents", std::move(list)}, {"displayTimeUnit", "ms"}};
}

}  // namespace qp::ctl
