#pragma once

#include <memory>
#include <string>

#include "blackboard/blackboard.h"
#include "foundation/event.h"
#include "policy/admission.h"
#include "policy/chain_router.h"
#include "policy/retry_budget.h"

namespace qp::testing {

inline constexpr std::uint32_t kLayers = 8;

/// State of one daemon whose backends are three servers of a plain service and,
/// for each of the two stages of a model, three engines.
class Deployment {
 public:
  explicit Deployment(TimePoint now)
      : configuration_writer(this->blackboard.configuration.Claim()),
        backends_writer(this->blackboard.backends.Claim()) {
    ConfigurationView view;
    view.configuration = MakeConfiguration();
    this->admission.Update(*view.configuration, MakeBudgets(), now);
    this->configuration_writer->Publish(view);
    this->PublishBackends();
  }

  void RemoveConfiguration() { this->configuration_writer->Publish({}); }
  /// Removes this daemon's share of every class.
  void RemoveShares(TimePoint now) {
    this->admission.Update(MakeConfiguration(), {}, now);
  }
  void RemoveBackends() { this->backends_writer->Publish({}); }

  Blackboard blackboard;
  policy::Admission admission{1};
  policy::ChainRouter chains{2};
  policy::ServiceRouter servers{3};
  policy::RetryBudget retries;
  NullEventSink events;

 private:
  static Configuration MakeConfiguration() {
    Configuration configuration;
    configuration.version = 1;
    Target target;
    target.requests_per_second = 1e6;
    RequestClass service{"lookup", "", "desk", "lookup", true, target};
    configuration.classes.push_back(service);
    service.name = service.operation = "hold";
    service.idempotent = false;
    configuration.classes.push_back(service);
    target.tokens_per_second = 1e6;
    configuration.classes.push_back({"chat", "model", "", "", true, target});
    configuration.models.push_back({"model", kLayers, 1 << 20, 1 << 14});
    return configuration;
  }

  static BudgetsView MakeBudgets() {
    BudgetsView budgets;
    budgets.generation = 1;
    for (const auto* name : {"lookup", "hold", "chat"}) {
      budgets.shares[name] = {1e6, 1e6};
    }
    return budgets;
  }

  void PublishBackends() {
    BackendsView view;
    for (const std::string replica : {"a", "b", "c"}) {
      for (const std::uint32_t first : {0U, kLayers / 2}) {
        Backend engine;
        engine.name = replica + std::to_string(first);
        engine.address = engine.name + ":1";
        engine.model = "model";
        engine.first_layer = first;
        engine.last_layer = first + kLayers / 2 - 1;
        engine.slots = 8;
        view.backends.push_back(engine);
      }
      Backend server;
      server.name = "desk-" + replica;
      server.address = server.name + ":1";
      server.role = BackendRole::kService;
      server.service = "desk";
      server.slots = 8;
      view.backends.push_back(server);
    }
    this->backends_writer->Publish(view);
  }

  std::unique_ptr<Writer<ConfigurationView>> configuration_writer;
  std::unique_ptr<Writer<BackendsView>> backends_writer;
};

}  // namespace qp::testing
