#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "http/message.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Information from the headers of a caller's request.
struct RequestMetadata {
  std::string attempt_id;  ///< Unique for each attempt of the caller.
  std::string host;
  std::string path;
  std::optional<Duration> deadline;  ///< Time that the caller waits.
  std::string key;                   ///< Key of a workspace; empty if none.
  std::optional<std::uint64_t> last_event_id;  ///< Of a stream to resume.
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< Maximum number.
};

/// Information that the relay adds to a request to a server.
struct ForwardMetadata {
  std::string_view server_id;  ///< No other server must run the request.
  std::string_view workspace;
  Duration deadline{};
  std::optional<std::uint64_t> last_event_id;
  const Chain* chain = nullptr;  ///< Null for plain services.
  int urgency = 5;               ///< 0 (most urgent) to 9.
};

/// Information from the head of a server's response.
struct ResponseMetadata {
  std::string attempt_id;  ///< Of the request that the response belongs to.
  bool is_signed = false;
  bool not_executed = false;   ///< The request has not run and never will.
  std::string failed_address;  ///< Of the engine that caused the failure.
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  std::optional<Duration> keep_alive;  ///< Idle time until the server closes.
  bool leaving = false;                ///< The server is about to stop.
  /// Time for which the server asks this process to send no requests.
  std::optional<Duration> retry_after;
};

/// Parses and serializes the headers that callers and servers use. The relay
/// itself contains none of their names.
class Protocol {
 public:
  virtual ~Protocol() = default;

  virtual RequestMetadata ParseRequest(const http::Request& request) const = 0;
  /// Head and body of the request as sent to a server.
  virtual std::string SerializeRequest(
      const http::Request& request, const ForwardMetadata& metadata) const = 0;
  virtual ResponseMetadata ParseResponse(
      const boost::beast::http::fields& headers) const = 0;
};

/// Whether a header is hop-by-hop, that is, applies to one connection only.
bool IsConnectionHeader(std::string_view lower_case_name);

}  // namespace qp::relay
