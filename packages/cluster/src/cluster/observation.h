#pragma once

#include <cstdint>
#include <string>

#include "foundation/clock.h"

namespace qp {

/// State of a backend server as a daemon observed it.
struct Observation {
  std::string backend;  ///< VM name.
  std::uint64_t incarnation = 0;
  std::string kind;     ///< Accelerator kind; empty for services.
  std::string model;    ///< Model on the backend server; empty if none.
  std::string service;  ///< Service that the server offers; empty for engines.
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
  std::uint32_t slots = 0;
  std::uint32_t running = 0;  ///< Rounded by up to 1/16 when received.
  std::uint32_t queued = 0;   ///< Rounded by up to 1/16 when received.
  bool leaving = false;       ///< Never reset within an incarnation.
  bool reachable = true;
  TimePoint observed_at{};  ///< Local time; estimated if received from a peer.
};

}  // namespace qp
