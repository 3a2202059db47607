#include "decisions.h"

#include <algorithm>
#include <random>

#include "fleet.h"
#include "policy/admission.h"
#include "policy/chain_router.h"
#include "policy/pipeline_plan.h"
#include "policy/prefix_index.h"

namespace qp::bench {

namespace {

constexpr std::size_t kEngines = 600;
constexpr int kWorkspaces = 1000;
constexpr int kCalls = 2000;
constexpr int kSlowCalls = 11;
constexpr double kRequestsPerSecond = 100;

Configuration OneClass(double requests_per_second) {
  Configuration configuration;
  RequestClass request_class;
  request_class.name = "class";
  request_class.service = "service";
  request_class.target.requests_per_second = requests_per_second;
  configuration.classes.push_back(request_class);
  return configuration;
}

template <class Call>
DecisionTime Measure(std::string decision, int calls, const Call& call) {
  std::vector<double> times;
  times.reserve(calls);
  for (int i = 0; i < calls; ++i) {
    const auto start = std::chrono::steady_clock::now();
    call(i);
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  const auto middle = times.begin() + calls / 2;
  std::nth_element(times.begin(), middle, times.end());
  return {std::move(decision), *middle};
}

DecisionTime MeasureAdmission(std::uint64_t seed) {
  policy::Admission admission(seed);
  BudgetsView budgets;
  budgets.shares["class"] = {kRequestsPerSecond, 0};
  admission.Update(OneClass(kRequestsPerSecond), budgets, TimePoint{});
  return Measure("admission", kCalls, [&](int i) {
    const auto workspace = std::to_string(i % kWorkspaces);
    policy::AdmissionRequest request;
    request.class_name = "class";
    request.workspace = workspace;
    admission.Decide(request, TimePoint{} + std::chrono::milliseconds(i));
  });
}

}  // namespace

FairnessResult MeasureFairness(std::uint64_t seed) {
  constexpr double kSeconds = 300;
  constexpr double kFair = kRequestsPerSecond / 2;
  policy::Admission admission(seed);
  BudgetsView budgets;
  budgets.shares["class"] = {kRequestsPerSecond, 0};
  admission.Update(OneClass(kRequestsPerSecond), budgets, TimePoint{});
  std::mt19937_64 generator(seed);
  std::exponential_distribution<double> gap(51 * kFair);
  std::uniform_int_distribution<int> asker(0, 50);
  double small = 0;
  double large = 0;
  double small_asked = 0;
  for (double at = gap(generator); at < kSeconds; at += gap(generator)) {
    const bool is_small = asker(generator) == 0;
    policy::AdmissionRequest request;
    request.class_name = "class";
    request.workspace = is_small ? "small" : "large";
    const auto now = TimePoint{} + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(at));
    const bool admitted = admission.Decide(request, now).admitted();
    small_asked += is_small ? 1 : 0;
    (is_small ? small : large) += admitted ? 1 : 0;
  }
  const double fair_share = std::min(small_asked, kFair * kSeconds);
  return {small / fair_share,
          (small + large) / (kRequestsPerSecond * kSeconds)};
}

std::vector<DecisionTime> MeasureDecisionTimes(std::uint64_t seed) {
  std::vector<DecisionTime> times{MeasureAdmission(seed)};
  Fleet fleet = MakeFleet(kEngines);
  const policy::FlowGuidedPlacement placement;
  Place(fleet, placement);
  policy::PrefixIndex prefixes;
  for (std::size_t i = 0; i < kEngines; ++i) {
    for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
      prefixes.OnStored(fleet.view.backends[i].name, i * 7 + prefix,
                        TimePoint{});
    }
  }
  policy::ChainRouter router(seed);
  policy::ChainQuery query;
  query.model = &fleet.model();
  query.expected_tokens = 100;
  query.kinds = fleet.kinds;
  const auto route = [&](int i) {
    const auto now = TimePoint{} + std::chrono::milliseconds(i);
    query.prefix_hash = query.prefixes == nullptr ? 0 : i % 4000 + 1;
    router.OnStarted(*router.Choose(fleet.view, query, now), now);
  };
  times.push_back(Measure("route", kCalls, route));
  query.prefixes = &prefixes;
  times.push_back(Measure("route_with_prefix", kCalls, route));
  const policy::LinkMap links;
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < kEngines; ++i) {
    if (!fleet.view.backends[i].model.empty()) {
      usable.push_back(i);
    }
  }
  times.push_back(Measure("plan_of_flow", kSlowCalls, [&](int) {
    policy::PlanPipeline(fleet.view.backends, usable,
                         {fleet.model(), fleet.kinds, links});
  }));
  times.push_back(Measure("placement", kSlowCalls,
                          [&](int) { placement.Assign(fleet.Input()); }));
  return times;
}

}  // namespace qp::bench
