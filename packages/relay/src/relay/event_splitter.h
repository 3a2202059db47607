#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace qp::relay {

/// One complete event of a text/event-stream body.
struct StreamEvent {
  std::string_view bytes;  ///< Including the blank line that ends the event.
  std::optional<std::uint64_t> id;
  bool has_data = false;  ///< False for comments, which keep connections open.
};

/// Splits the body of a stream into complete events. A server can fail in the
/// middle of an event; the incomplete part must not reach the caller before the
/// stream is resumed.
class EventSplitter {
 public:
  void Append(std::string_view bytes);
  /// The next complete event, valid until the next call of a member function.
  std::optional<StreamEvent> Next();
  /// Discards all buffered bytes, such as an event that was cut off.
  void Reset();
  /// Bytes after the last event returned; once Next returns nothing, the size
  /// of the incomplete event.
  std::size_t partial_bytes() const {
    return this->buffer.size() - this->event_begin;
  }

 private:
  std::string buffer;
  std::size_t event_begin = 0;
  std::size_t scan_position = 0;
};

}  // namespace qp::relay
