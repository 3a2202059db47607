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
#include "storage/table.h"

namespace qp::relay {

/// What an entry process needs from the platform that it runs on.
struct PlatformServices {
  const Protocol* protocol = nullptr;
  DeploymentStore* store = nullptr;
  EngineControl* engines = nullptr;
  Table* table = nullptr;
};

/// One process between the callers and the backend servers of a deployment.
class EntryDaemon {
 public:
  /// `services` must outlive the daemon.
  EntryDaemon(EntrySettings settings, PlatformServices services,
              asio::io_context& io, Clock& clock, EventSink& events,
              std::uint64_t seed);
  ~EntryDaemon();

  /// Opens the listeners and begins to follow the store.
  Result<void> Start();
  /// Takes over changed settings. Addresses stay as they were at the start.
  void Reload(const EntrySettings& settings);
  /// Finishes what is under way, then stops the io_context. Before a load
  /// balancer has noticed, new requests are still served.
  void BeginDrain();
  bool IsReady() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp::relay
