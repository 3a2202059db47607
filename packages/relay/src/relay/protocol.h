#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"
#include "http/message.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Information from the headers of a caller's request.
struct RequestMetadata {
  std::string attempt_id;  ///< Unique for each attempt of the caller.
  std::string host;
  std::string path;
  /// Time from the arrival of the request for which the caller waits.
  std::optional<Duration> deadline;
  /// API key, from which the workspace is looked up; empty if the request
  /// carries none.
  std::string key;
  /// Id of the event after which a stream is to be resumed.
  std::optional<std::uint64_t> last_event_id;
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< Maximum number of tokens of the response.
  /// Ids of the parts of the prompt that other requests can share, each once,
  /// sorted.
  std::vector<std::string> shared_parts;
};

/// Information that the relay adds to a request to a server.
struct ForwardMetadata {
  /// Id of the server that the request is sent to. A server with another id
  /// must not run the request.
  std::string_view server_id;
  std::string_view workspace;
  Duration deadline{};  ///< Time within which the server must respond.
  /// Id of the event after which the server is to resume the stream.
  std::optional<std::uint64_t> last_event_id;
  const Chain* chain = nullptr;  ///< Null for plain services.
  int urgency = 5;               ///< 0 (most urgent) to 9.
};

/// Information from the head of a server's response.
struct ResponseMetadata {
  std::string attempt_id;  ///< Attempt id of the request it responds to.
  bool is_signed = false;
  bool not_executed = false;  ///< The request has not run and never will.
  /// Address of the engine that caused the failure; empty if not stated.
  std::string failed_address;
  /// Number of requests that run on the server, from all callers.
  std::optional<std::uint32_t> running;
  /// Number of requests that wait at the server, from all callers.
  std::optional<std::uint32_t> waiting;
  /// Idle time after which the server closes the connection.
  std::optional<Duration> keep_alive;
  bool leaving = false;  ///< The server is about to stop.
  /// Time for which the server asks this process to send no requests.
  std::optional<Duration> retry_after;
  /// Requests a second that the server takes from all processes together; empty
  /// if the response states no limit.
  std::optional<double> request_limit;
};

/// Parses and serializes the headers that callers and servers use. The names of
/// these headers are known only to implementations of this interface.
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
