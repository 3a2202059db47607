#pragma once

namespace qp::http {

/// Interim responses that are skipped before the final one. Servers normally
/// send at most one.
inline constexpr int kMaxInterimResponses = 8;

/// Whether a final response follows. Only the statuses that servers send
/// unasked to requests without an Expect or Upgrade header count; a server that
/// sends another one, for example 101 or 102, would let the request wait for
/// its time limit.
inline bool IsInterimStatus(unsigned status) {
  return status == 100 || status == 103;
}

/// Whether the status can be that of an answer. RFC 9110 (15) defines the
/// classes up to 5xx; servers in trouble send others, such as 000.
inline bool IsFinalStatus(unsigned status) {
  return status >= 200 && status <= 599;
}

}  // namespace qp::http
