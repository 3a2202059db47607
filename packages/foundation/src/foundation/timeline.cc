#include "foundation/timeline.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace qp {

namespace {

std::string FormatHumanLine(const Event& event) {
  const EventInfo& info = InfoOf(event.id);
  std::string line = "E" + std::to_string(static_cast<int>(event.id)) + " ";
  line += info.name;
  line += " node=" + event.node;
  for (const EventField& field : event.fields) {
    line += " " + field.name + "=" + field.value;
  }
  return line;
}

std::string FormatJsonLine(const Event& event) {
  const EventInfo& info = InfoOf(event.id);
  nlohmann::json line = {
      {"event", static_cast<int>(event.id)}, {"name", info.name},
      {"severity", ToString(info.severity)}, {"node", event.node},
      {"time_ms", event.time.millis},        {"counter", event.time.counter}};
  for (const EventField& field : event.fields) {
    line["fields"][field.name] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log4cplus::LogLevel LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Severity::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Severity::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

void Log(const Event& event, LogFormat format) {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("qp");
  const auto level = LevelOf(InfoOf(event.id).severity);
  if (!logger.isEnabledFor(level)) {
    return;
  }
  logger.forcedLog(level, format == LogFormat::kJson ? FormatJsonLine(event)
                                                     : FormatHumanLine(event));
}

}  // namespace

Timeline::Timeline(const Clock& time, std::string node_name,
                   LogFormat log_format, std::size_t capacity)
    : clock(time),
      node(std::move(node_name)),
      format(log_format),
      ring(capacity) {}

void Timeline::Record(EventId id, std::vector<EventField> fields) {
  Event event{id, {}, this->node, std::move(fields)};
  {
    std::lock_guard lock(this->mutex);
    event.time = this->hybrid_clock.Tick(this->clock.WallNow());
    this->ring.push_back(event);
  }
  Log(event, this->format);
}

void Timeline::Observe(HybridTime received) {
  std::lock_guard lock(this->mutex);
  this->hybrid_clock.Observe(received, this->clock.WallNow());
}

HybridTime Timeline::Stamp() {
  std::lock_guard lock(this->mutex);
  return this->hybrid_clock.Tick(this->clock.WallNow());
}

std::vector<Event> Timeline::Snapshot() const {
  std::lock_guard lock(this->mutex);
  return {this->ring.begin(), this->ring.end()};
}

std::vector<Event> MergeTimelines(std::vector<std::vector<Event>> timelines) {
  std::vector<Event> merged;
  for (auto& timeline : timelines) {
    std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const Event& left, const Event& right) {
                     return std::tie(left.time, left.node) <
                            std::tie(right.time, right.node);
                   });
  return merged;
}

}  // namespace qp
