#pragma once

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Serializes an HTTP/1.1 response with a body of known length. Leaves out
/// headers that apply only to the server's connection.
std::string SerializeResponse(unsigned status,
                              const boost::beast::http::fields& headers,
                              std::string_view body, bool keep_open);

/// Serializes the head of a chunked response. Leaves out headers that apply
/// only to the server's connection.
std::string SerializeChunkedHead(unsigned status,
                                 const boost::beast::http::fields& headers,
                                 bool keep_open);

/// Serializes one chunk of a chunked response.
std::string SerializeChunk(std::string_view bytes);
/// Ends the body of a chunked response.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A response that the relay generates when it has no response of a server that
/// it can forward.
struct LocalReply {
  unsigned status = 503;
  std::string_view reason;
  /// Time after which a retry can succeed; sent as Retry-After.
  std::optional<Duration> retry_after;
};

std::string SerializeLocalReply(const LocalReply& reply, bool keep_open);

}  // namespace qp::relay
