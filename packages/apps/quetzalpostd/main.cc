#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <boost/asio/signal_set.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

#include "config/daemon_settings.h"
#include "daemon/daemon.h"
#include "entry.h"
#include "foundation/asio.h"
#include "foundation/caf_clock.h"
#include "foundation/event.h"
#include "process.h"

namespace {

using qp::kExitStart;
using qp::kExitUsage;
constexpr const char* kVersion = "0.1.0";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("quetzalpostd",
                           "Routes requests to model pipelines and services.");
  options.add_options()("settings", "JSON file with the settings",
                        cxxopts::value<std::string>())(
      "entry",
      "Relay a deployment's requests on the users' platform; without "
      "--settings, from the file that the platform names")(
      "check-settings", "Check the settings and exit")(
      "list-events", "Print the catalogue of events as Markdown and exit")(
      "version", "Print the version and exit")("help", "Print this help");
  return options;
}

std::optional<qp::DaemonSettings> LoadSettings(const std::string& path) {
  const auto text = qp::ReadFile(path);
  if (!text) {
    qp::ReportFailure(text.error(), kExitUsage);
    return std::nullopt;
  }
  auto settings = qp::ParseDaemonSettings(text.value());
  if (!settings) {
    std::cerr << "quetzalpostd: " << path << ":\n" << settings.error().detail;
    return std::nullopt;
  }
  return std::move(settings).value();
}

void ConfigureLogging(const qp::DaemonSettings& settings) {
  const bool json = settings.log_format == "json";
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      json ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(qp::LogLevelOf(settings.log_level));
}

int Run(qp::DaemonSettings settings) {
  caf::actor_system_config config;
  // Controllers need little; the request thread is not one of these.
  config.set("scheduler.max-threads", 2);
  caf::actor_system actors(config);
  qp::CafClock clock(actors);
  qp::asio::io_context io(1);
  auto daemon = qp::Daemon::Create(std::move(settings), io, actors, clock,
                                   qp::RandomSeed());
  if (!daemon) {
    return qp::ReportFailure(daemon.error(), kExitStart);
  }
  const auto started = daemon.value()->Start();
  if (!started) {
    return qp::ReportFailure(started.error(), kExitStart);
  }
  qp::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&daemon](boost::system::error_code failure, int) {
    if (!failure) {
      daemon.value()->BeginDrain();
    }
  });
  io.run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options = MakeOptions();
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
      std::cout << "quetzalpostd " << kVersion << "\n";
      return EXIT_SUCCESS;
    }
    if (arguments.count("list-events") > 0) {
      std::cout << qp::EventCatalogueMarkdown();
      return EXIT_SUCCESS;
    }
    if (arguments.count("entry") > 0) {
      const bool named = arguments.count("settings") > 0;
      return qp::RunEntry(
          named ? arguments["settings"].as<std::string>() : std::string(),
          arguments.count("check-settings") > 0);
    }
    if (arguments.count("settings") == 0) {
      std::cerr << "quetzalpostd: --settings is required\n";
      return kExitUsage;
    }
    auto settings = LoadSettings(arguments["settings"].as<std::string>());
    if (!settings) {
      return kExitUsage;
    }
    if (arguments.count("check-settings") > 0) {
      return EXIT_SUCCESS;
    }
    log4cplus::Initializer logging;
    ConfigureLogging(*settings);
    return Run(std::move(*settings));
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "quetzalpostd: " << failure.what() << "\n";
    return kExitUsage;
  }
}
