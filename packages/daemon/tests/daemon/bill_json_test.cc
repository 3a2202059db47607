#include "daemon/bill_json.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/configuration_json.h"

namespace {

qp::Configuration Example() {
  std::ifstream file(std::string(QP_SOURCE_DIR) +
                     "/examples/member-desk/targets.json");
  std::ostringstream text;
  text << file.rdbuf();
  return qp::ParseConfiguration(text.str()).value();
}

qp::BackendsView Fleet() {
  qp::BackendsView view;
  for (const char* kind : {"a100-80g", "t4-16g"}) {
    qp::Backend engine;
    engine.name = kind;
    engine.kind = kind;
    engine.region = "sindh";
    view.backends.push_back(engine);
  }
  return view;
}

}  // namespace

TEST_CASE("A what-if shows the cost of a raised target before it applies",
          "[bill]") {
  const auto now = Example();
  auto raised = now;
  raised.classes[0].target.tokens_per_second *= 3;

  const auto report = qp::WhatIfReport(now, raised, Fleet());
  const auto& difference = report["difference"];
  CHECK(difference["total"]["bound"].get<double>() > 0);
  // Raising one class must not change what another one costs.
  for (const auto& item : difference["classes"]) {
    if (item["class"] != raised.classes[0].name) {
      CHECK(item["cost"]["central"].get<double>() == Approx(0));
      CHECK(item["cost"]["bound"].get<double>() == Approx(0));
    }
  }
}

TEST_CASE("Spending is priced by kind and region beside the forecast",
          "[bill]") {
  const auto configuration = Example();
  const std::vector<qp::UsedHours> used = {{"a100-80g", "sindh", 10},
                                           {"unknown-kind", "sindh", 5}};
  const auto report =
      qp::SpendingReport(configuration, Fleet(), "2026-12", used);
  const double price = configuration.price_sheet.prices[0].per_hour;
  CHECK(report["used"].get<double>() == Approx(10 * price));
  CHECK(report["lines"].size() == 2);
  CHECK(report["forecast"]["bound"].get<double>() >=
        report["forecast"]["central"].get<double>());
}
