#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace qp {

/// What kind of failure an error is, independent of where it arose.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,     ///< A condition of the request did not hold.
  kUnavailable,  ///< The peer was not reached or refused to serve.
  kTimeout,      ///< No progress within the bound.
  kCancelled,
  kRefused,        ///< The peer answered that it will not do this.
  kProtocol,       ///< The peer's answer was malformed.
  kUnknownEffect,  ///< The request may have taken effect.
  kInternal,
};

/// Lower-case name of a code, as in logs and JSON.
std::string_view ToString(ErrorCode code);

/// A failure together with the step and the peer at which it arose.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;  ///< Operation that failed, for example "table.transact".
  std::string peer;  ///< Address or name of the other side; empty if local.
  std::string detail;

  bool operator==(const Error&) const = default;
};

/// One line with code, step, peer and detail.
std::string ToString(const Error& error);

/// Holds a value or an Error. value() on an error ends the program.
template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Success without a value.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace qp
