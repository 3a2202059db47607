#pragma once

namespace qp::relay {

inline bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Statuses by which an answer may say that the request has not run.
inline bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace qp::relay
