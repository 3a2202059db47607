#pragma once

#include <nlohmann/json.hpp>
#include <span>

#include "foundation/event.h"

namespace qp::ctl {

/// Events in the JSON Object Format of the trace viewers in browsers, one
/// process for each node. Source: Trace Event Format, Google, 2016.
nlohmann::json TraceViewerJson(std::span<const Event> events);

}  // namespace qp::ctl
