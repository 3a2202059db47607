#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foundation/event.h"

namespace qp::relay::testing {

struct RecordedEvent {
  /// Value of a field; "absent" if the event does not have it.
  std::string Field(std::string_view name) const {
    for (const auto& field : this->fields) {
      if (field.name == name) {
        return field.value;
      }
    }
    return "absent";
  }

  EventId id;
  std::vector<EventField> fields;
};

/// Keeps all events in the order in which they were recorded.
class RecordingEventSink : public EventSink {
 public:
  void Record(EventId id, std::vector<EventField> fields) override {
    this->events.push_back({id, std::move(fields)});
  }

  std::vector<RecordedEvent> Find(EventId id) const {
    std::vector<RecordedEvent> found;
    for (const auto& event : this->events) {
      if (event.id == id) {
        found.push_back(event);
      }
    }
    return found;
  }

  std::vector<RecordedEvent> events;
};

}  // namespace qp::relay::testing
