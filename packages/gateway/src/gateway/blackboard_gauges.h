#pragma once

namespace qp {

struct Blackboard;
class Metrics;

/// Sets the gauges that describe the state on the blackboard: readiness,
/// configuration version, members and backend servers by state, and this
/// daemon's budget shares by class. Call before each Metrics::Text.
void UpdateGauges(const Blackboard& blackboard, Metrics& metrics);

}  // namespace qp
