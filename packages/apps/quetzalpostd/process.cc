#include "process.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace qp {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorCode::kNotFound, "settings.read", path,
                 "the file cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

log4cplus::LogLevel LogLevelOf(const std::string& name) {
  if (name == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (name == "warning") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  return name == "error" ? log4cplus::ERROR_LOG_LEVEL
                         : log4cplus::INFO_LOG_LEVEL;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

int ReportFailure(const Error& error, int code) {
  std::cerr << "quetzalpostd: " << ToString(error) << "\n";
  return code;
}

}  // namespace qp
