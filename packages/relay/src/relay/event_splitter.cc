#include "relay/event_splitter.h"

#include <charconv>

namespace qp::relay {

namespace {

/// Sets the id and `has_data` of `target` from the fields of an event.
void ParseFields(std::string_view event, StreamEvent& target) {
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view{}
                                          : event.substr(end + 1);
    target.has_data = target.has_data || line.substr(0, 5) == "data:";
    if (line.substr(0, 3) != "id:") {
      continue;
    }
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc{}) {
      target.id = id;
    }
  }
}

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  if (this->event_begin > 0) {
    this->buffer.erase(0, this->event_begin);
    this->scan_position -= this->event_begin;
    this->event_begin = 0;
  }
  this->buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::Next() {
  const std::string_view text = this->buffer;
  while (true) {
    const auto line_end = text.find('\n', this->scan_position);
    if (line_end == std::string_view::npos) {
      return std::nullopt;
    }
    const auto line =
        text.substr(this->scan_position, line_end - this->scan_position);
    this->scan_position = line_end + 1;
    if (!line.empty() && line != "\r") {
      continue;
    }
    StreamEvent event;
    event.bytes =
        text.substr(this->event_begin, this->scan_position - this->event_begin);
    ParseFields(event.bytes, event);
    this->event_begin = this->scan_position;
    return event;
  }
}

void EventSplitter::Reset() {
  this->buffer.clear();
  this->event_begin = 0;
  this->scan_position = 0;
}

}  // namespace qp::relay
