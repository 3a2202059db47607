#pragma once

namespace qp::relay {

inline bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Statuses with which a server can state that it has not run the request.
inline bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace qp::relay
