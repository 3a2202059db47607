#include "relay/callers/request_cost.h"

namespace qp::relay {

namespace {

/// Size of Beast's element for a header (about 80 bytes with GCC 12) and of the
/// allocator's own data, in bytes.
constexpr std::size_t kHeaderOverheadBytes = 112;
/// Length of the shortest header line, "a:" and the end of the line, in bytes.
constexpr std::size_t kShortestLineBytes = 4;
/// Input of a connection besides the body: two reads of 64 KB, one of which is
/// moved to a larger buffer.
constexpr std::size_t kInputBytes = 256 * 1024;

}  // namespace

std::size_t HeaderBytes(const boost::beast::http::fields& headers) {
  std::size_t bytes = 0;
  for (const auto& header : headers) {
    bytes += kHeaderOverheadBytes + header.name_string().size() +
             header.value().size();
  }
  return bytes;
}

std::size_t SendingBytes(std::size_t header_bytes, std::size_t body_capacity,
                         std::size_t body_size) {
  return 2 * header_bytes + body_capacity + body_size;
}

std::size_t LargestRequestBytes(const CallerLimits& limits) {
  const std::size_t headers =
      limits.max_header_bytes +
      limits.max_header_bytes / kShortestLineBytes * kHeaderOverheadBytes;
  const auto body = static_cast<std::size_t>(limits.max_body_bytes);
  // http::AppendBody keeps up to a quarter more than it needs.
  return SendingBytes(headers, body + body / 4, body) + kInputBytes;
}

}  // namespace qp::relay
