#pragma once

#include <caf/fwd.hpp>
#include <cstdint>
#include <memory>

#include "config/daemon_settings.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// One quetzalpost daemon: listeners, controllers and the request path. Runs
/// on the thread of `io`; the cluster controller is an actor of `actors`.
class Daemon {
 public:
  /// Opens the listener for peers. `seed` must differ between daemons and
  /// starts; ids, nonces and spreads are drawn from it.
  static Result<std::unique_ptr<Daemon>> Create(DaemonSettings settings,
                                                asio::io_context& io,
                                                caf::actor_system& actors,
                                                Clock& clock,
                                                std::uint64_t seed);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the other listeners and starts the controllers.
  Result<void> Start();

  /// Begins a graceful stop: reports unready, keeps serving for the drain
  /// grace, finishes all work in flight, gives its budget shares away and
  /// stops the io_context. A second call does nothing.
  void BeginDrain();

 private:
  struct State;
  explicit Daemon(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

}  // namespace qp
