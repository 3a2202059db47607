#include "policy/forecast.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

namespace {

using namespace std::chrono_literals;
using qp::Configuration;
using qp::policy::FleetPart;
using qp::policy::ForecastSpending;

constexpr std::uint64_t kGigabyte = 1000000000;

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.models = {{"large", 80, kGigabyte, 16384},
                          {"small", 20, kGigabyte, 8192}};
  configuration.kinds = {{"a", 80 * kGigabyte, 80000},
                         {"b", 24 * kGigabyte, 2000}};
  configuration.price_sheet.currency = "CAD";
  configuration.price_sheet.prices = {
      {"a", "north", 4}, {"a", "south", 5}, {"b", "north", 0.2}};
  qp::RequestClass question;
  question.name = "question";
  question.model = "large";
  question.target.tokens_per_second = 5000;
  qp::RequestClass draft = question;
  draft.name = "draft";
  draft.model = "small";
  draft.target.tokens_per_second = 2000;
  qp::RequestClass service_class;
  service_class.name = "look-up";
  service_class.service = "stock-book";
  service_class.target.requests_per_second = 500;
  configuration.classes = {question, draft, service_class};
  return configuration;
}

}  // namespace

// Guards against a bound that actual usage within the targets can exceed.
TEST_CASE("Work within the targets never costs more than the bound",
          "[forecast]") {
  CHECK(rc::check([] {
    auto configuration = MakeConfiguration();
    for (auto& price : configuration.price_sheet.prices) {
      price.per_hour = *rc::gen::inRange(1, 1000) / 100.0;
    }
    std::vector<qp::policy::UsedHours> used;
    for (auto& request_class : configuration.classes) {
      const auto* model = configuration.FindModel(request_class.model);
      if (model == nullptr) {
        continue;
      }
      auto& target = request_class.target.tokens_per_second;
      target = *rc::gen::inRange(1, 20000);
      // Divides the tokens, including those of retries, among the prices in
      // random parts, in steps of 0.1%.
      int remaining = *rc::gen::inRange(0, 1001);
      for (const auto& price : configuration.price_sheet.prices) {
        const int part = *rc::gen::inRange(0, remaining + 1);
        remaining -= part;
        const double speed = price.kind == "a" ? 80000 : 2000;
        const double tokens = 1.1 * target * part / 1000;
        used.push_back(
            {price.kind, price.region,
             tokens * model->layers / speed * qp::policy::kMonthHours});
      }
    }
    const auto forecast = ForecastSpending(configuration, {});
    const double spent =
        qp::policy::CostOfUsage(configuration.price_sheet, used);
    RC_ASSERT(spent <= forecast.total.bound * (1 + 1e-9));
    RC_ASSERT(forecast.total.central <= forecast.total.bound);
  }));
}

// Guards against a higher cost for one team after another team raised its
// target.
TEST_CASE("Raising one target leaves the cost of other classes as it is",
          "[forecast]") {
  CHECK(rc::check([] {
    auto configuration = MakeConfiguration();
    const std::vector<FleetPart> fleet{{"a", "north", 3.0},
                                       {"b", "north", 9.0}};
    const auto before = ForecastSpending(configuration, fleet);
    const auto raised_class = *rc::gen::inRange<std::size_t>(0, 2);
    const double increase = *rc::gen::inRange(1, 100000);
    configuration.classes[raised_class].target.tokens_per_second += increase;
    const auto after = ForecastSpending(configuration, fleet);
    for (std::size_t i = 0; i < before.classes.size(); ++i) {
      if (i != raised_class) {
        RC_ASSERT(after.classes[i].cost.central ==
                  before.classes[i].cost.central);
        RC_ASSERT(after.classes[i].cost.bound == before.classes[i].cost.bound);
      }
    }
    const auto difference = qp::policy::Difference(before, after);
    RC_ASSERT(difference.total.central > 0);
    RC_ASSERT(difference.total.bound >= 0);
  }));
}

// Guards against a central estimate that omits work, kinds or latency targets.
TEST_CASE(
    "The central estimate follows capacity and the inter-token latency target",
    "[forecast]") {
  auto configuration = MakeConfiguration();
  const std::vector<FleetPart> fleet{{"a", "north", 1}, {"b", "north", 40}};
  // Each kind runs half of the 400,000 layers times tokens per second, on 2.5
  // accelerators of kind a and 100 of kind b.
  const double hours = qp::policy::kMonthHours;
  auto forecast = ForecastSpending(configuration, fleet);
  CHECK(forecast.classes[0].cost.central ==
        Approx((2.5 * 4 + 100 * 0.2) * hours));
  CHECK(forecast.classes[2].cost.bound == 0);
  CHECK(forecast.unpriced_classes.empty());

  // The 80 layers take 40 ms on kind b, so this target excludes kind b.
  configuration.classes[0].target.between_tokens = 39ms;
  const auto changed = ForecastSpending(configuration, fleet);
  CHECK(changed.classes[0].cost.central == Approx(5 * 4 * hours));
  const auto difference = qp::policy::Difference(forecast, changed);
  CHECK(difference.total.central == Approx(-10 * hours));
  CHECK(changed.contributions[1].target == "between_tokens");
  CHECK(changed.contributions[1].cost.central == Approx(-10 * hours));
  CHECK(changed.contributions[0].cost.central == Approx(20 * hours));
}

// Guards against targets that are accepted although the fleet cannot meet them.
TEST_CASE("A shortfall names the class, the gap and the cheapest kind",
          "[forecast]") {
  auto configuration = MakeConfiguration();
  // The classes need 400,000 and 40,000 layers times tokens per second.
  CHECK(qp::policy::FindShortfalls(configuration,
                                   std::vector<FleetPart>{{"a", "north", 5.5}})
            .empty());
  configuration.classes[0].target.between_tokens = 39ms;
  const auto found = qp::policy::FindShortfalls(
      configuration,
      std::vector<FleetPart>{{"a", "north", 3}, {"b", "north", 20}});
  REQUIRE(found.size() == 1);
  CHECK(found[0].class_name == "question");
  CHECK(found[0].missing_tokens_per_second == Approx(2000));
  CHECK(found[0].kind == "a");
  CHECK(found[0].accelerators == 2);
}
