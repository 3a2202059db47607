#pragma once

#include <functional>
#include <memory>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

class TokenSink;

/// Polls `sink` and calls `on_disconnect` on `executor` once the caller has
/// disconnected, unless the watch is destroyed first. The sink must outlive the
/// watch.
class DisconnectWatch {
 public:
  /// Limits how long engines work for a caller that has disconnected.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(100);

  DisconnectWatch(Clock& clock, asio::any_io_executor executor,
                  const TokenSink& sink, std::function<void()> on_disconnect);
  ~DisconnectWatch();
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

 private:
  struct State;
  static void ScheduleNext(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state;
};

}  // namespace qp
