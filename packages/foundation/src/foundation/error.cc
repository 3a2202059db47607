#include "foundation/error.h"

namespace qp {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kUnknownEffect:
      return "unknown_effect";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Error& error) {
  std::string line(ToString(error.code));
  line += " at " + error.step;
  if (!error.peer.empty()) {
    line += " (" + error.peer + ")";
  }
  if (!error.detail.empty()) {
    line += ": " + error.detail;
  }
  return line;
}

}  // namespace qp
