#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace qp::relay {

/// One whole event of a text/event-stream body.
struct StreamEvent {
  std::string_view bytes;  ///< With its closing blank line.
  std::optional<std::uint64_t> id;
  bool has_data = false;  ///< It is more than a comment.
};

/// Cuts a stream's body into whole events. A server may break off in the
/// middle of one; that part must not reach the caller before the stream is
/// resumed.
class EventSplitter {
 public:
  void Append(std::string_view bytes);
  /// Next whole event; valid until the next call of a member.
  std::optional<StreamEvent> Next();
  /// Forgets an event that was cut off.
  void Reset();
  /// Bytes of an event that is not whole yet.
  std::size_t partial_bytes() const {
    return this->buffer.size() - this->event_begin;
  }

 private:
  std::string buffer;
  std::size_t event_begin = 0;
  std::size_t scan_position = 0;
};

}  // namespace qp::relay
