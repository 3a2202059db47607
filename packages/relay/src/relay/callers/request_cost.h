#pragma once

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstddef>

#include "foundation/clock.h"
#include "relay/deployment.h"

namespace qp::relay {

/// Retry-After of a request that is refused for lack of memory. Longer than the
/// linger timeout would only delay the caller; shorter, it would meet the same
/// lack.
constexpr Duration kMemoryRetryAfter = std::chrono::milliseconds(500);

/// Memory of parsed headers in bytes. Each header is an allocation of its own,
/// so that a head of many short lines takes a multiple of its length.
std::size_t HeaderBytes(const boost::beast::http::fields& headers);

/// Memory in bytes of a request that is being sent to a server: the request
/// that is kept for retries and its serialized copy.
std::size_t SendingBytes(std::size_t header_bytes, std::size_t body_capacity,
                         std::size_t body_size);

/// Upper bound of the memory in bytes that one connection holds for a request
/// within `limits`.
std::size_t LargestRequestBytes(const CallerLimits& limits);

}  // namespace qp::relay
