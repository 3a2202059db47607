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
  /// Maximum number of idle connections kept per server. The number is small
  /// because all processes share the connection limit of a server.
  static constexpr std::size_t kMaxIdlePerServer = 8;
  /// Idle time assumed for a server that states none, and upper limit on a
  /// stated idle time. kIdleMargin is subtracted from the result.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
  /// Time between the end of a connection's idle time here and the time at
  /// which the server would close the connection.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

  explicit UpstreamPool(TimerQueue& timers);
  ~UpstreamPool();

  /// Returns the most recently used idle connection; null if there is none.
  std::shared_ptr<Channel> Acquire(const Server& server);
  /// Keeps a connection whose response has ended, or closes it if it cannot be
  /// kept. `keep_alive` is the idle time that the server states.
  void Release(const Server& server, std::shared_ptr<Channel> channel,
               std::optional<Duration> keep_alive);
  /// Closes connections whose idle time has ended.
  void Expire();
  std::size_t idle() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::relay
