#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace qp {

/// Kind of a failure, independent of the operation that failed.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,     ///< A precondition of the request did not hold.
  kUnavailable,  ///< The peer could not be reached or refused service.
  kTimeout,      ///< No progress within the timeout.
  kCancelled,
  kRefused,        ///< The peer answered that it rejects this request.
  kProtocol,       ///< The peer's response was malformed.
  kUnknownEffect,  ///< It is unknown whether the request took effect.
  kInternal,
};

/// Name of `code` in lower snake case, as in logs and JSON.
std::string_view ToString(ErrorCode code);

/// A failure with the operation that failed and the peer involved.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;  ///< Operation that failed, for example "table.transact".
  std::string peer;  ///< Address or name of the peer; empty if local.
  std::string detail;

  bool operator==(const Error&) const = default;
};

/// Formats code, step, peer and detail as one line.
std::string ToString(const Error& error);

/// Holds a value or an Error. value() terminates the program on an Error.
template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Successful result without a value.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace qp
