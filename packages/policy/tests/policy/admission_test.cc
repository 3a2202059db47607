#include "policy/admission.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace {

using namespace std::chrono_literals;
using qp::BudgetsView;
using qp::Configuration;
using qp::Duration;
using qp::TimePoint;
using qp::policy::Admission;
using qp::policy::AdmissionRequest;
using qp::policy::RefusalReason;

Configuration ConfigurationWithRate(double requests_per_second) {
  Configuration configuration;
  qp::RequestClass request_class;
  request_class.name = "look-up";
  request_class.service = "stock-book";
  request_class.target.requests_per_second = requests_per_second;
  configuration.classes.push_back(request_class);
  return configuration;
}

BudgetsView MakeBudgets(const std::string& name, double requests,
                        double tokens) {
  BudgetsView budgets;
  budgets.shares[name] = {requests, tokens};
  return budgets;
}

AdmissionRequest MakeRequest(std::string_view workspace, double tokens = 0) {
  AdmissionRequest request;
  request.class_name = "look-up";
  request.workspace = workspace;
  request.expected_tokens = tokens;
  return request;
}

/// Counts the admitted requests of each workspace if all workspaces send
/// requests at random times for `length`, each at its rate in `rates` (requests
/// per second).
std::map<std::string, int> CountAdmitted(
    Admission& admission, const std::map<std::string, double>& rates,
    std::chrono::seconds length) {
  std::mt19937_64 generator(7);
  std::vector<std::pair<double, std::string>> arrivals;
  for (const auto& [name, rate] : rates) {
    std::exponential_distribution<double> interarrival(rate);
    for (double at = interarrival(generator); at < length.count();
         at += interarrival(generator)) {
      arrivals.emplace_back(at, name);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::map<std::string, int> admitted;
  for (const auto& [at, name] : arrivals) {
    const auto now = TimePoint{} + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(at));
    admitted[name] +=
        admission.Decide(MakeRequest(name), now).admitted() ? 1 : 0;
  }
  return admitted;
}

}  // namespace

// Guards against a large workspace that uses up the share of a small one.
TEST_CASE(
    "A small workspace keeps its fair share beside one fifty times as "
    "large",
    "[admission]") {
  Admission admission(1);
  admission.Update(ConfigurationWithRate(100), MakeBudgets("look-up", 100, 0),
                   TimePoint{});
  const auto fair_rate = GENERATE(50.0, 20.0);
  const auto admitted = CountAdmitted(
      admission, {{"small", fair_rate}, {"large", 50 * fair_rate}}, 120s);
  CHECK(admitted.at("small") >= 0.95 * fair_rate * 120);
  CHECK(admitted.at("large") >= 0.95 * (100 - fair_rate) * 120);
}

// Guards against a class that exceeds its share, and against a share that stays
// unused while the class has requests for it.
TEST_CASE("A class is held to its share and can use all of it", "[admission]") {
  Admission admission(1);
  admission.Update(ConfigurationWithRate(40), MakeBudgets("look-up", 40, 0),
                   TimePoint{});
  const auto workspaces = GENERATE(1, 10);
  std::map<std::string, double> rates;
  for (int i = 0; i < workspaces; ++i) {
    rates["w" + std::to_string(i)] = 400.0 / workspaces;
  }
  int total = 0;
  for (const auto& [name, count] : CountAdmitted(admission, rates, 60s)) {
    total += count;
  }
  CHECK(total >= 40 * 60 * 0.98);
  CHECK(total <= 40 * 61 + 2 * workspaces);
}

// Guards against bursts and token counts that exceed the share of the class.
TEST_CASE("No sequence of requests exceeds the share plus its burst",
          "[admission]") {
  CHECK(rc::check([] {
    constexpr double rate = 20;
    constexpr double token_rate = 1000;
    auto configuration = ConfigurationWithRate(rate);
    configuration.classes[0].target.tokens_per_second = token_rate;
    Admission admission(1);
    admission.Update(configuration, MakeBudgets("look-up", rate, token_rate),
                     TimePoint{});
    const auto workspaces = *rc::gen::inRange(1, 6);
    double requests = 0;
    double tokens = 0;
    Duration time{};
    for (int i = 0; i < 400; ++i) {
      time += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
      const auto name = "w" + std::to_string(*rc::gen::inRange(0, workspaces));
      const double cost = *rc::gen::inRange(1, 200);
      if (admission.Decide(MakeRequest(name, cost), TimePoint{} + time)
              .admitted()) {
        requests += 1;
        tokens += cost;
      }
    }
    const double seconds = std::chrono::duration<double>(time).count();
    // One second of rate, and for each workspace two requests of burst and one
    // request of initial credit.
    const double burst = rate + 3 * workspaces;
    RC_ASSERT(requests <= rate * seconds + burst + 1);
    // A request above the capacity of a bucket leaves it up to 200 tokens in
    // debt.
    RC_ASSERT(tokens <= token_rate * seconds + burst * token_rate / rate +
                            200 * workspaces);
  }));
}

// Guards against a class that is admitted beyond its target while another class
// of the same service still needs its own share.
TEST_CASE(
    "A class receives surplus only from rate that other classes leave unused",
    "[admission]") {
  auto configuration = ConfigurationWithRate(50);
  auto other = configuration.classes[0];
  other.name = "other";
  configuration.classes.push_back(other);
  auto budgets = MakeBudgets("look-up", 50, 0);
  budgets.shares["other"] = {50, 0};
  Admission admission(1);
  admission.Update(configuration, budgets, TimePoint{});

  const auto run = [&](double other_rate) {
    std::map<std::string, int> admitted;
    constexpr int kSteps = 60000;  // milliseconds
    double pending_requests = 0;
    for (int i = 0; i < kSteps; ++i) {
      const auto now = TimePoint{} + std::chrono::milliseconds(i);
      if (i % 5 == 0) {
        admitted["look-up"] +=
            admission.Decide(MakeRequest("w"), now).admitted();
      }
      for (pending_requests += other_rate / 1000; pending_requests >= 1;
           pending_requests -= 1) {
        auto request = MakeRequest("v");
        request.class_name = "other";
        admitted["other"] += admission.Decide(request, now).admitted();
      }
    }
    return admitted;
  };
  SECTION("and none while the other classes use their shares") {
    auto admitted = run(100);
    CHECK(admitted["look-up"] <= 50 * 61 + 3);
    CHECK(admitted["other"] >= 50 * 60 * 0.98);
  }
  SECTION("and all of it while the other classes are mostly idle") {
    auto admitted = run(10);
    CHECK(admitted["other"] >= 10 * 60 - 1);
    CHECK(admitted["look-up"] >= 90 * 60 * 0.95);
    CHECK(admitted["look-up"] <= 90 * 61 + 53);
  }
  SECTION("and none while other daemons report a shortage") {
    admission.SetShortageElsewhere("other", 1);
    CHECK(run(10)["look-up"] <= 50 * 61 + 3);
  }
}

// Guards against requests that use share and resources although their response
// is discarded at the deadline.
TEST_CASE("A request that would end after its deadline is refused uncharged",
          "[admission]") {
  auto configuration = ConfigurationWithRate(1);
  Admission admission(1);
  admission.Update(configuration, MakeBudgets("look-up", 1, 0), TimePoint{});
  auto request = MakeRequest("w", 11);
  request.predicted_time_to_first_token = 300ms;
  request.predicted_inter_token_latency = 50ms;
  request.deadline = 799ms;
  for (int i = 0; i < 10; ++i) {
    const auto decision = admission.Decide(request, TimePoint{});
    CHECK(decision.reason == RefusalReason::kDeadlineTooShort);
    CHECK(decision.retry_after > Duration::zero());
  }
  request.deadline = 800ms;
  CHECK(admission.Decide(request, TimePoint{}).admitted());
}

// Guards against refused callers that all retry at the same time.
TEST_CASE(
    "Retry-After has jitter over the time needed to serve refused requests",
    "[admission]") {
  Admission admission(1);
  admission.Update(ConfigurationWithRate(100), MakeBudgets("look-up", 100, 0),
                   TimePoint{});
  // Number of refused requests by Retry-After, in tenths of a second.
  std::map<std::int64_t, int> refused_by_delay;
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto name = "w" + std::to_string(i % 10);
    const auto decision = admission.Decide(MakeRequest(name), TimePoint{});
    if (!decision.admitted()) {
      ++refused;
      ++refused_by_delay[decision.retry_after / 100ms];
    }
  }
  REQUIRE(refused > 800);
  CHECK(admission.ShortageRate("look-up", TimePoint{}) > 0);
  CHECK(admission.ShortageRate("look-up", TimePoint{} + 60s) < 0.01);
  for (const auto& [tenth, count] : refused_by_delay) {
    CHECK(count < refused / 5);
  }
}

// Guards against a workspace that exceeds its share with responses longer than
// the expected tokens that it was charged for.
TEST_CASE("The charge of a request is corrected by its actual tokens",
          "[admission]") {
  auto configuration = ConfigurationWithRate(10);
  configuration.classes[0].target.tokens_per_second = 100;
  Admission admission(1);
  admission.Update(configuration, MakeBudgets("look-up", 10, 100), TimePoint{});
  const auto admit_all = [&](TimePoint now) {
    int admitted = 0;
    while (admission.Decide(MakeRequest("w", 10), now).admitted()) {
      ++admitted;
    }
    return admitted;
  };
  const int first = admit_all(TimePoint{});
  REQUIRE(first > 0);
  admission.RecordActualTokens("look-up", "w", 10, 110);
  CHECK(admit_all(TimePoint{} + 900ms) == 0);
  CHECK(admit_all(TimePoint{} + 2s) > 0);
}
