#pragma once

#include <nlohmann/json.hpp>

#include "foundation/clock.h"

namespace qp::standins {

/// Faults that a test switches on and off while a stand-in runs. In JSON,
/// times are whole milliseconds with the suffix `_ms`.
struct Switches {
  bool down = false;             ///< Connections are closed without an answer.
  bool lose_answer = false;      ///< Effects happen, answers are never sent.
  bool silent = false;           ///< Connections open at the switch go silent.
  bool leaving = false;          ///< New work is refused with 503.
  bool ignore_fence = false;     ///< Orders are taken whatever their fence.
  bool kv_export_fails = false;  ///< KV cache exports end in an error.
  Duration delay{0};             ///< Before each request is served.
  Duration load_lag{0};          ///< Age of the load that is reported.
  Duration token_delay{0};       ///< For each step that computes a token.
};

nlohmann::json ToJson(const Switches& switches);

/// Changes the switches named in `document`. Throws nlohmann::json::exception
/// if it is no object, names an unknown switch or gives a wrong type.
Switches Changed(const Switches& switches, const nlohmann::json& document);

}  // namespace qp::standins
