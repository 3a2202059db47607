#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "foundation/error.h"
#include "foundation/event.h"

namespace qp {

/// Body of `GET /v1/timeline`: an array of `{event, name, severity, node,
/// time_ms, counter, fields}`, oldest first.
nlohmann::json TimelineToJson(std::span<const Event> events);

/// Reads such a body; kProtocol if it has another form. Events with numbers
/// that this version does not know are kept.
Result<std::vector<Event>> ReadTimeline(const nlohmann::json& document);

/// JSON form of one event.
nlohmann::json ToJson(const Event& event);

/// Name of an event; "event_<number>" if this version does not know it.
std::string NameOf(EventId id);

}  // namespace qp
