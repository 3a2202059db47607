#include "entry.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <cstdlib>
#include <functional>

#include "foundation/caf_clock.h"
#include "foundation/spawn.h"
#include "foundation/stdout_appender.h"
#include "foundation/timeline.h"
#include "foundation/wait.h"
#include "platform/adapter.h"
#include "process.h"
#include "relay/entry_daemon.h"

namespace qp {

namespace {

/// Time between two looks at the settings file, which may change without a
/// signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(5);
/// Events kept for the time line. A VM has some hundred megabytes.
constexpr std::size_t kTimelineCapacity = 512;

Result<relay::EntrySettings> LoadSettings(const std::string& path,
                                          std::string* text) {
  BOOST_OUTCOME_TRY(content, ReadFile(path));
  if (text != nullptr) {
    *text = content;
  }
  return relay::ParseEntrySettings(content);
}

void ConfigureLogging(const std::string& level) {
  log4cplus::SharedAppenderPtr appender(new StdoutAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(LogLevelOf(level));
}

/// Takes over the settings file whenever it has changed.
class SettingsWatch {
 public:
  SettingsWatch(std::string file, std::string text, relay::EntryDaemon& target)
      : path(std::move(file)), content(std::move(text)), daemon(target) {}

  void Check() {
    std::string text;
    const auto settings = LoadSettings(this->path, &text);
    if (text == this->content) {
      return;
    }
    this->content = text;
    if (settings) {
      this->daemon.Reload(settings.value());
    } else {
      ReportFailure(settings.error(), 0);  // The former settings stay in use.
    }
  }

  Task<void> Run(Clock& clock) {
    while (true) {
      co_await SleepFor(clock, kSettingsInterval);
      this->Check();
    }
  }

 private:
  std::string path;
  std::string content;
  relay::EntryDaemon& daemon;
};

/// Size in bytes from which the allocator maps a block of its own, which goes
/// back to the operating system when it is freed. A fixed value keeps glibc
/// from raising it to 32 MB: bodies of requests then fragment the heap, and
/// resident memory exceeds what is counted (22.8 MB instead of 29.9 MB in
/// client_limits_test.py, bodies over the limit).
constexpr int kMmapThresholdBytes = 128 * 1024;

int Serve(const std::string& path, const std::string& text,
          relay::EntrySettings settings) {
  log4cplus::Initializer logging;
  ConfigureLogging(settings.log_level);
  caf::actor_system_config config;
  // One waiting thread: work stealing polls, and each wake-up costs.
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", 1);
  caf::actor_system actors(config);
  CafClock clock(actors);
  asio::io_context io(1);
  Timeline events(clock, settings.node, LogFormat::kJson, kTimelineCapacity);
  platform::Adapter adapter(io, clock, settings);
  relay::EntryDaemon daemon(std::move(settings), adapter.services(), io, clock,
                            events, RandomSeed());
  if (const auto started = daemon.Start(); !started) {
    return ReportFailure(started.error(), kExitStart);
  }
  SettingsWatch watch(path, text, daemon);
  SpawnLoop(io, clock, "settings.watch",
            [&watch, &clock] { return watch.Run(clock); });
  asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&daemon](boost::system::error_code failure, int) {
    if (!failure) {
      daemon.BeginDrain();
    }
  });
  asio::signal_set reload(io, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_reload =
      [&](boost::system::error_code failure, int) {
        if (!failure) {
          watch.Check();
          reload.async_wait(on_reload);
        }
      };
  reload.async_wait(on_reload);
  io.run();
  // Coroutines that still wait refer to objects of this function.
  std::quick_exit(EXIT_SUCCESS);
}

}  // namespace

int RunEntry(const std::string& settings_path, bool check_only) {
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  std::string path = settings_path;
  if (path.empty()) {
    auto named = platform::SettingsPath();
    if (!named) {
      return ReportFailure(named.error(), kExitUsage);
    }
    path = named.value();
  }
  std::string text;
  auto settings = LoadSettings(path, &text);
  if (!settings) {
    return ReportFailure(settings.error(), kExitUsage);
  }
  return check_only ? EXIT_SUCCESS : Serve(path, text, settings.value());
}

}  // namespace qp
