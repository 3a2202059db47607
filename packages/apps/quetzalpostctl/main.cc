#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "foundation/caf_clock.h"
#include "gateway/ctl/command_line.h"
#include "gateway/ctl/commands.h"
#include "gateway/ctl/http_operator_transport.h"

namespace {

/// First line of the token file, or the environment's token.
std::string ReadToken(const std::string& path) {
  std::string token;
  if (path.empty()) {
    const char* value = std::getenv("QUETZALPOST_TOKEN");
    return value == nullptr ? token : value;
  }
  std::ifstream file(path);
  std::getline(file, token);
  return token;
}

/// Addresses in QUETZALPOST_DAEMON, separated by commas.
std::vector<std::string> DefaultDaemons() {
  std::vector<std::string> daemons;
  const char* value = std::getenv("QUETZALPOST_DAEMON");
  if (value != nullptr && *value != '\0') {
    boost::algorithm::split(daemons, std::string(value),
                            boost::algorithm::is_any_of(","));
  }
  return daemons;
}

/// Change ids of different operators must differ.
std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

int Run(const qp::ctl::CommandLine& line) {
  const std::string token = ReadToken(line.token_file);
  if (token.empty()) {
    std::cerr << "error: no bearer token; give --token-file or set "
                 "QUETZALPOST_TOKEN\n";
    return static_cast<int>(qp::ctl::ExitCode::kUsage);
  }
  caf::actor_system_config config;
  caf::actor_system system(config);
  qp::CafClock clock(system);
  qp::ctl::HttpOperatorTransport transport(clock, token);
  qp::ctl::Session session{transport, std::cout, std::cerr, RandomNumber()};
  return static_cast<int>(qp::ctl::RunCommand(line, session));
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto parsed = qp::ctl::ParseCommandLine(arguments, DefaultDaemons());
  if (const auto* notice = std::get_if<qp::ctl::Notice>(&parsed)) {
    const bool is_error = notice->exit_code != qp::ctl::ExitCode::kOk;
    (is_error ? std::cerr : std::cout) << notice->text;
    return static_cast<int>(notice->exit_code);
  }
  return Run(std::get<qp::ctl::CommandLine>(parsed));
}
