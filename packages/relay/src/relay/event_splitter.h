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
  /// False for a comment, which servers send to keep the connection open.
  bool has_data = false;
};

/// Splits the body of a stream into complete events. A server can fail in the
/// middle of an event; the incomplete part must not reach the caller before the
/// stream is resumed.
class EventSplitter {
 public:
  void Append(std::string_view bytes);
  /// The next complete event; empty if there is none. Its `bytes` are valid
  /// until the next call of a non-const member function.
  std::optional<StreamEvent> Next();
  /// Discards all buffered bytes, such as an event that was cut off.
  void Reset();
  /// Number of buffered bytes after the last event that Next returned. Once
  /// Next returns nothing, this is the size of the incomplete event.
  std::size_t partial_bytes() const {
    return this->buffer.size() - this->event_begin;
  }

 private:
  std::string buffer;
  std::size_t event_begin = 0;
  std::size_t scan_position = 0;
};

}  // namespace qp::relay
