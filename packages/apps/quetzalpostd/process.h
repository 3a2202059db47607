#pragma once

#include <log4cplus/loglevel.h>

#include <cstdint>
#include <string>

#include "foundation/error.h"

namespace qp {

inline constexpr int kExitUsage = 2;
inline constexpr int kExitStart = 3;

/// kNotFound if the file can't be read.
Result<std::string> ReadFile(const std::string& path);

/// `name` is debug, info, warning or error.
log4cplus::LogLevel LogLevelOf(const std::string& name);

std::uint64_t RandomSeed();

/// Prints an error of the start; returns `code`.
int ReportFailure(const Error& error, int code);

}  // namespace qp
