#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "decisions.h"
#include "fleet.h"
#include "pipeline_run.h"
#include "routing_policy.h"

namespace {

using qp::bench::Fleet;
using qp::bench::RunResult;

constexpr std::size_t kEngines = 64;
constexpr double kOverload = 1.2;
constexpr double kHighLoad = 0.95;

/// One row of the table.
void Print(const std::string& measure, const std::string& subject, double value,
           const std::string& unit) {
  std::cout << std::left << std::setw(36) << measure << std::setw(20) << subject
            << std::right << std::setw(12) << std::fixed << std::setprecision(3)
            << value << ' ' << unit << '\n';
}

RunResult RunWith(const Fleet& fleet, std::string_view routing, double offered,
                  double admitted, std::uint64_t seed) {
  qp::bench::RunSettings settings;
  settings.routing = routing;
  settings.offered_tokens_per_second = offered;
  settings.admitted_tokens_per_second = admitted;
  settings.seed = seed;
  return qp::bench::RunPipelines(fleet, settings);
}

nlohmann::json MeasureRouting(std::uint64_t seed) {
  Fleet fleet = qp::bench::MakeFleet(kEngines);
  const double even = qp::bench::Place(fleet, qp::policy::EvenSplitPlacement());
  const double bound =
      qp::bench::Place(fleet, qp::policy::FlowGuidedPlacement());
  Print("flow bound", "even_split", even, "tokens/s");
  Print("flow bound", "flow_guided", bound, "tokens/s");
  // The bounds above leave out links too slow for the time between tokens.
  const double any_latency = qp::bench::BoundAtAnyLatency(fleet);
  Print("flow bound at any latency", "flow_guided", any_latency, "tokens/s");
  nlohmann::json report{{"even_split_bound_tokens_per_second", even},
                        {"bound_tokens_per_second", bound},
                        {"bound_at_any_latency", any_latency}};
  for (const auto name : qp::bench::PolicyNames()) {
    const std::string policy(name);
    const auto overload = RunWith(fleet, name, kOverload * bound, bound, seed);
    const auto high = RunWith(fleet, name, kHighLoad * bound, bound, seed);
    const double throughput = overload.tokens_per_second / bound;
    Print("throughput / bound at 120% load", policy, throughput, "");
    Print("within target at 95% load", policy, high.within_target, "");
    Print("first token p95 at 95% load", policy, high.first_token_p95 * 1e3,
          "ms");
    Print("between tokens p95 at 95% load", policy,
          high.between_tokens_p95 * 1e3, "ms");
    report["routing"][policy] = {
        {"throughput_of_bound_at_overload", throughput},
        {"abandoned_at_overload", overload.abandoned},
        {"within_target_at_high_load", high.within_target},
        {"first_token_p95_s", high.first_token_p95},
        {"between_tokens_p95_s", high.between_tokens_p95},
        {"admitted_at_high_load", high.admitted},
        {"abandoned_at_high_load", high.abandoned}};
  }
  return report;
}

int Run(std::uint64_t seed, const std::string& path) {
  nlohmann::json report = MeasureRouting(seed);
  report["seed"] = seed;
  const auto fairness = qp::bench::MeasureFairness(seed);
  Print("share of small workspace / fair", "admission", fairness.small_share,
        "");
  Print("use of the class's share", "admission", fairness.class_use, "");
  report["fairness"] = {{"small_of_fair", fairness.small_share},
                        {"class_use", fairness.class_use}};
  for (const auto& time : qp::bench::MeasureDecisionTimes(seed)) {
    Print("median decision time", time.decision, time.median_microseconds,
          "us");
    report["decision_median_us"][time.decision] = time.median_microseconds;
  }
  std::ofstream file(path);
  file << report.dump(2) << '\n';
  file.close();
  if (!file) {
    std::cerr << "cannot write " << path << '\n';
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quetzalpost_bench",
                           "Measures the decisions with queue models");
  options.add_options()("output", "path of the JSON report",
                        cxxopts::value<std::string>())(
      "seed", "seed of arrivals and policies",
      cxxopts::value<std::uint64_t>()->default_value("20261204"));
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("output") == 0) {
      std::cerr << options.help();
      return 2;
    }
    return Run(arguments["seed"].as<std::uint64_t>(),
               arguments["output"].as<std::string>());
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
