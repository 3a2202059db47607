#include "gateway/timeline_json.h"

#include <algorithm>

#include "config/json_reader.h"

namespace qp {

namespace {

const EventInfo* FindInfo(EventId id) {
  const auto catalogue = EventCatalogue();
  const auto found =
      std::find_if(catalogue.begin(), catalogue.end(),
                   [id](const EventInfo& info) { return info.id == id; });
  return found == catalogue.end() ? nullptr : &*found;
}

Event ReadEvent(JsonReader& reader) {
  Event event{};
  event.id = static_cast<EventId>(reader.Integer("event", 0, UINT16_MAX));
  event.node = reader.String("node");
  event.time.millis =
      static_cast<WallMillis>(reader.Integer("time_ms", 0, INT64_MAX));
  event.time.counter =
      static_cast<std::uint32_t>(reader.Integer("counter", 0, UINT32_MAX));
  return event;
}

void ReadFields(const nlohmann::json& document, Event& event) {
  const auto fields = document.find("fields");
  if (fields == document.end() || !fields->is_object()) {
    return;
  }
  for (const auto& [name, value] : fields->items()) {
    event.fields.push_back(
        {name, value.is_string() ? value.get<std::string>() : value.dump()});
  }
}

Error Malformed(const std::vector<Mistake>& mistakes) {
  return {ErrorCode::kProtocol, "timeline.read", "", ToString(mistakes)};
}

}  // namespace

std::string NameOf(EventId id) {
  const EventInfo* info = FindInfo(id);
  return info == nullptr ? "event_" + std::to_string(static_cast<int>(id))
                         : std::string(info->name);
}

nlohmann::json ToJson(const Event& event) {
  const EventInfo* info = FindInfo(event.id);
  const Severity severity = info == nullptr ? Severity::kInfo : info->severity;
  nlohmann::json fields = nlohmann::json::object();
  for (const EventField& field : event.fields) {
    fields[field.name] = field.value;
  }
  return {
      {"event", static_cast<int>(event.id)}, {"name", NameOf(event.id)},
      {"severity", ToString(severity)},      {"node", event.node},
      {"time_ms", event.time.millis},        {"counter", event.time.counter},
      {"fields", std::move(fields)}};
}

nlohmann::json TimelineToJson(std::span<const Event> events) {
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : events) {
    list.push_back(ToJson(event));
  }
  return list;
}

Result<std::vector<Event>> ReadTimeline(const nlohmann::json& document) {
  std::vector<Mistake> mistakes;
  if (!document.is_array()) {
    mistakes.push_back({"", "an array of events"});
    return Malformed(mistakes);
  }
  std::vector<Event> events;
  for (const nlohmann::json& item : document) {
    JsonReader reader(item, "/" + std::to_string(events.size()), mistakes);
    Event event = ReadEvent(reader);
    if (item.is_object()) {
      ReadFields(item, event);
    }
    events.push_back(std::move(event));
  }
  if (!mistakes.empty()) {
    return Malformed(mistakes);
  }
  return events;
}

}  // namespace qp
