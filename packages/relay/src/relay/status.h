#pragma once

namespace qp::relay {

inline bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

inline constexpr unsigned kFirstServerError = 500;

/// Whether a response with this status can state that the server has not run
/// the request.
inline bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace qp::relay
