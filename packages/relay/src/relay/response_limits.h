#pragma once

#include <cstddef>

namespace qp::relay {

/// What one request may hold in memory of a server's answer, in bytes. Servers
/// in trouble send heads, events and bodies without end.
struct ResponseLimits {
  static constexpr std::size_t kDefault = 64 * 1024;

  /// Largest head, or other part that can only be read as a whole. Servers
  /// answer with a dozen short headers.
  std::size_t head_bytes = kDefault;
  /// Largest event of a stream; servers send some hundred bytes in one.
  std::size_t event_bytes = kDefault;
  /// Largest plain answer that is held until it is whole, so that the request
  /// can still be tried elsewhere; longer ones are passed on as they arrive.
  std::size_t buffered_bytes = kDefault;
  /// Bytes that wait for a slow caller before its server is slowed down.
  std::size_t unsent_bytes = kDefault;
  /// Part of an answer to another request that is read to get past it.
  std::size_t skipped_bytes = 4 * kDefault;
};

}  // namespace qp::relay
