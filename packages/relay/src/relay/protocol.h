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

/// What the headers of a caller's request say.
struct RequestMetadata {
  std::string attempt_id;  ///< Unique to this try of the caller.
  std::string host;
  std::string path;
  std::optional<Duration> deadline;  ///< Time that the caller will wait.
  std::string key;                   ///< Of a workspace; empty if none.
  std::optional<std::uint64_t> last_event_id;  ///< A stream to be resumed.
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< Largest number.
};

/// What a request is told on its way to a server.
struct ForwardMetadata {
  std::string_view server_id;  ///< Any other server must not run it.
  std::string_view workspace;
  Duration deadline{};
  std::optional<std::uint64_t> last_event_id;
  const Chain* chain = nullptr;  ///< Null for plain services.
  int urgency = 5;               ///< 0 to 9, 0 goes first.
};

/// What the head of a server's response says.
struct ResponseMetadata {
  std::string attempt_id;  ///< Of the request that it answers.
  bool is_signed = false;
  bool not_executed = false;   ///< The request did not run and never will.
  std::string failed_address;  ///< Engine of a chain that caused the failure.
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  std::optional<Duration> keep_alive;  ///< Idle time until the server closes.
  bool leaving = false;                ///< The server is about to stop.
  /// Time for which the server asks for no more requests of this process.
  std::optional<Duration> retry_after;
};

/// Reads and writes the headers that callers and servers use. The relay knows
/// none of their names.
class Protocol {
 public:
  virtual ~Protocol() = default;

  virtual RequestMetadata ParseRequest(const http::Request& request) const = 0;
  /// Head and body as they are sent to a server.
  virtual std::string SerializeRequest(
      const http::Request& request, const ForwardMetadata& metadata) const = 0;
  virtual ResponseMetadata ParseResponse(
      const boost::beast::http::fields& headers) const = 0;
};

/// Whether a header concerns one connection only.
bool IsConnectionHeader(std::string_view lower_case_name);

}  // namespace qp::relay
