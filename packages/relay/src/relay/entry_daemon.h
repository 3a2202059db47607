#pragma once

#include <functional>
#include <memory>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "foundation/event.h"
#include "http/client.h"
#include "relay/deployment_store.h"
#include "relay/entry_settings.h"
#include "relay/protocol.h"
#include "storage/store_era.h"
#include "storage/table.h"

namespace qp::relay {

/// Platform-specific services of an entry process. All must be set.
struct PlatformServices {
  const Protocol* protocol = nullptr;
  DeploymentStore* store = nullptr;
  EngineControl* engines = nullptr;
  Table* table = nullptr;
  EraSource* era_source = nullptr;  ///< Of the store and the table.
};

/// A process that relays requests of callers to the backend servers of a
/// deployment.
class EntryDaemon {
 public:
  /// `services` must outlive the daemon.
  EntryDaemon(EntrySettings settings, PlatformServices services,
              asio::io_context& io, Clock& clock, EventSink& events,
              std::uint64_t seed);
  ~EntryDaemon();

  /// Opens the listeners and starts to watch the store.
  Result<void> Start();
  /// Applies the grace period and the retry budget of changed settings.
  /// Addresses and response limits keep their values from the start.
  void Reload(const EntrySettings& settings);
  /// Finishes the requests in flight, at most until the end of the grace
  /// period, then stops the io_context. New requests are still served until the
  /// load balancer has noticed that the process is not ready.
  void BeginDrain();
  /// Whether the process can serve requests: it has a configuration and a
  /// server list, and is not draining.
  bool IsReady() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp::relay
