#pragma once

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Text of an HTTP/1.1 response with a body of known length. Headers that
/// concern only the server's connection are left out.
std::string SerializeResponse(unsigned status,
                              const boost::beast::http::fields& headers,
                              std::string_view body, bool keep_open);

/// Head of a chunked response.
std::string SerializeChunkedHead(unsigned status,
                                 const boost::beast::http::fields& headers,
                                 bool keep_open);

/// One chunk of a chunked response.
std::string SerializeChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The relay's own answer where no server's answer can be given.
struct LocalReply {
  unsigned status = 503;
  std::string_view reason;
  /// Time after which a repeat is worth while.
  std::optional<Duration> retry_after;
};

std::string SerializeLocalReply(const LocalReply& reply, bool keep_open);

}  // namespace qp::relay
