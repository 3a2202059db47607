#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "fleet.h"

namespace qp::bench {

struct RunSettings {
  std::string_view routing;
  double offered_tokens_per_second = 0;
  double admitted_tokens_per_second = 0;  ///< Share of the class.
  int daemons = 8;
  double seconds = 30;
  double warm_up_seconds = 10;
  std::uint64_t seed = 1;
};

struct RunResult {
  double tokens_per_second = 0;
  std::size_t admitted = 0;
  std::size_t abandoned = 0;
  /// Part of the admitted requests that met both targets.
  double within_target = 0;
  double first_token_p95 = 0;     ///< Seconds.
  double between_tokens_p95 = 0;  ///< Seconds, means of requests.
};

/// Event-driven run of queue models. An engine serves the tokens of its streams
/// one after the other at its speed, a link carries activations one after the
/// other, and a stream holds a slot on each of its engines. A stream waits for
/// slots and gives up after kPatience. Daemons see reports that are taken
/// every 0.5 s and arrive 0.5 s late. Prompts cost nothing.
RunResult RunPipelines(const Fleet& fleet, const RunSettings& settings);

}  // namespace qp::bench
