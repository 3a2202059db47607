#include "policy/admission.h"

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

Configuration OneClass(double requests_per_second) {
  Configuration configuration;
  qp::RequestClass look_up;
  look_up.name = "look-up";
  look_up.service = "stock-book";
  look_up.target.requests_per_second = requests_per_second;
  configuration.classes.push_back(look_up);
  return configuration;
}

BudgetsView Shares(const std::string& name, double requests, double tokens) {
  BudgetsView budgets;
  budgets.shares[name] = {requests, tokens};
  return budgets;
}

AdmissionRequest Ask(std::string_view workspace, double tokens = 0) {
  AdmissionRequest request;
  request.class_name = "look-up";
  request.workspace = workspace;
  request.expected_tokens = tokens;
  return request;
}

/// Admitted requests per workspace when each asks at random times with its
/// rate (requests per second) for `length`.
std::map<std::string, int> Run(Admission& admission,
                               const std::map<std::string, double>& rates,
                               std::chrono::seconds length) {
  std::mt19937_64 generator(7);
  std::vector<std::pair<double, std::string>> arrivals;
  for (const auto& [name, rate] : rates) {
    std::exponential_distribution<double> gap(rate);
    for (double at = gap(generator); at < length.count();
         at += gap(generator)) {
      arrivals.emplace_back(at, name);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::map<std::string, int> admitted;
  for (const auto& [at, name] : arrivals) {
    const auto now = TimePoint{} + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(at));
    admitted[name] += admission.Decide(Ask(name), now).admitted() ? 1 : 0;
  }
  return admitted;
}

}  // namespace

// Guards against a large workspace that crowds out a small one.
TEST_CASE(
    "A small workspace keeps its fair share beside one fifty times as "
    "large",
    "[admission]") {
  Admission admission(1);
  admission.Update(OneClass(100), Shares("look-up", 100, 0), TimePoint{});
  const auto fair = GENERATE(50.0, 20.0);
  const auto admitted =
      Run(admission, {{"small", fair}, {"large", 50 * fair}}, 120s);
  CHECK(admitted.at("small") >= 0.95 * fair * 120);
  CHECK(admitted.at("large") >= 0.95 * (100 - fair) * 120);
}

// Guards against a class that exceeds its share, and against share that lies
// idle while the class asks for it.
TEST_CASE("A class is held to its share and can use all of it", "[admission]") {
  Admission admission(1);
  admission.Update(OneClass(40), Shares("look-up", 40, 0), TimePoint{});
  const auto workspaces = GENERATE(1, 10);
  std::map<std::string, double> rates;
  for (int i = 0; i < workspaces; ++i) {
    rates["w" + std::to_string(i)] = 400.0 / workspaces;
  }
  int total = 0;
  for (const auto& [name, count] : Run(admission, rates, 60s)) {
    total += count;
  }
  CHECK(total >= 40 * 60 * 0.98);
  CHECK(total <= 40 * 61 + 2 * workspaces);
}
