#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/asio.h"
#include "foundation/error.h"
#include "relay/deployment_store.h"

namespace qp::relay {

/// Asks the first engine of a chain which engines its stalled requests wait
/// for. Calls of Find for the same engine share one request to that engine
/// until it responds, because the streams of an engine fall silent together.
class StalledRequestFinder {
 public:
  using Callback = std::function<void(const Result<StalledRequests>&)>;

  explicit StalledRequestFinder(asio::io_context& context) : io(context) {}

  /// Whether a request to the engine with id `first` is waiting for its
  /// response, which Find then shares.
  bool IsPending(std::string_view first) const;
  /// Calls `callback` once with the result, never before Find returns.
  void Find(EngineControl& engines, const ServerRecord& first,
            Callback callback);

 private:
  Task<void> Run(EngineControl& engines, ServerRecord first);

  asio::io_context& io;
  /// Callbacks that wait for the response of an engine, by id of the engine.
  std::map<std::string, std::vector<Callback>, std::less<>> pending_callbacks;
};

}  // namespace qp::relay
