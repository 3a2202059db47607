#pragma once

#include "blackboard/entry.h"
#include "blackboard/views.h"

namespace qp {

/// State shared by the controllers and the request path. Each entry has one
/// owner; see "State and its owner" on the design page.
struct Blackboard {
  Entry<ConfigurationView> configuration;
  Entry<MembersView> members;
  Entry<BackendsView> backends;
  Entry<BudgetsView> budgets;
  Entry<ReadinessView> readiness;
};

}  // namespace qp
