#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "relay/channel.h"
#include "relay/server.h"
#include "relay/timer_queue.h"

namespace qp::relay {

/// Idle connections to backend servers, by server and incarnation.
class UpstreamPool {
 public:
  /// Idle connections kept for one server. Servers share their connection
  /// limit among all processes.
  static constexpr std::size_t kMaxIdle = 8;
  /// Idle time where the server states none, and the longest in any case.
  static constexpr Duration kDefaultIdle = std::chrono::seconds(4);
  /// A connection is dropped this long before the server would close it.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

  explicit UpstreamPool(TimerQueue& timers);
  ~UpstreamPool();

  /// An idle connection, the latest used first; null if there is none.
  std::shared_ptr<Channel> Acquire(const Server& server);
  /// Keeps a connection on which an answer has ended. `keep_alive` is the idle
  /// time that the server states.
  void Release(const Server& server, std::shared_ptr<Channel> channel,
               std::optional<Duration> keep_alive);
  /// Closes connections whose time is up.
  void Expire();
  std::size_t idle() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::relay
