#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "relay/prompt_quarantine.h"
#include "relay/server.h"
#include "relay/timer_queue.h"

namespace qp::relay {

/// Finds out whether an engine that has broken off requests has crashed, and
/// records the crash with the quarantine.
///
/// Servers and networks break connections for many reasons. Only an engine
/// whose address refuses a new connection has crashed.
class CrashProbe {
 public:
  /// Timeout of the connection. An engine that does not answer can be cut off,
  /// which says nothing of the requests.
  static constexpr Duration kTimeout = std::chrono::milliseconds(350);

  CrashProbe(asio::io_context& io, TimerQueue& timers, EventSink& events,
             PromptQuarantine& quarantine);
  ~CrashProbe();

  /// A request with `keys`, its fingerprint and its shared prompt parts, was
  /// sent to `engine` at `sent_at` and was broken off before its first event.
  void ReportBroken(const ServerPtr& engine, std::vector<std::string> keys,
                    TimePoint sent_at);
  /// Whether it is not known yet if an engine crashed under a request with one
  /// of `keys`.
  bool IsProbing(std::span<const std::string> keys) const;
  /// Calls `callback` once, when the next probe has ended.
  void CallAtNextResult(std::function<void()> callback);

 private:
  struct BrokenRequest {
    std::vector<std::string> keys;
    TimePoint sent_at;
  };
  struct Probe;

  void Finish(std::uint64_t engine, const boost::system::error_code& result);

  asio::io_context& io;
  TimerQueue& timers;
  EventSink& events;
  PromptQuarantine& quarantine;
  /// Probes in progress, by hash of the engine's id and incarnation.
  std::map<std::uint64_t, std::shared_ptr<Probe>> probes;
  std::vector<std::function<void()>> callbacks;
};

}  // namespace qp::relay
