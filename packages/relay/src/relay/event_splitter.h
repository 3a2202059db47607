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
  bool has_partial_event() const { return this->begin < this->buffer.size(); }

 private:
  std::string buffer;
  std::size_t begin = 0;
  std::size_t scanned = 0;
};

}  // namespace qp::relay
