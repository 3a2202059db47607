#pragma once

#include <cstddef>

namespace qp::relay {

/// Limits, in bytes, on the parts of a server's response that the relay reads
/// or buffers for one request. Faulty servers send heads, events and bodies of
/// unlimited length.
struct ResponseLimits {
  static constexpr std::size_t kDefault = 64 * 1024;

  /// Maximum size of a head, or of another part that can only be parsed as a
  /// whole. Servers send about a dozen short headers.
  std::size_t head_bytes = kDefault;
  /// Maximum size of an event of a stream. Events normally have a few hundred
  /// bytes.
  std::size_t event_bytes = kDefault;
  /// Maximum size of a plain response that is buffered until it is complete, so
  /// that the request can still be retried on another server. Longer responses
  /// are forwarded as they arrive.
  std::size_t buffered_bytes = kDefault;
  /// Number of bytes waiting for a slow caller above which the relay pauses
  /// reading from the server.
  std::size_t unsent_bytes = kDefault;
  /// Maximum number of bytes of a response to another request that are read and
  /// discarded to reach the next response.
  std::size_t skipped_bytes = 4 * kDefault;
};

}  // namespace qp::relay
