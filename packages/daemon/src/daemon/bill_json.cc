#include "daemon/bill_json.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "policy/forecast.h"

namespace qp {

namespace {

using nlohmann::json;
using policy::CostRange;
using policy::FleetPart;
using policy::Forecast;

std::vector<FleetPart> FleetOf(const BackendsView& backends) {
  std::map<std::pair<std::string, std::string>, double> counts;
  for (const Backend& backend : backends.backends) {
    if (backend.role == BackendRole::kEngine && backend.IsRoutable()) {
      counts[{backend.kind, backend.region}] += 1;
    }
  }
  std::vector<FleetPart> fleet;
  fleet.reserve(counts.size());
  for (const auto& [part, count] : counts) {
    fleet.push_back({part.first, part.second, count});
  }
  return fleet;
}

json ToJson(const CostRange& cost) {
  return {{"central", cost.central}, {"bound", cost.bound}};
}

json ToJson(const Forecast& forecast) {
  json classes = json::array();
  for (const auto& item : forecast.classes) {
    classes.push_back(
        {{"class", item.class_name}, {"cost", ToJson(item.cost)}});
  }
  json lines = json::array();
  for (const auto& line : forecast.lines) {
    lines.push_back({{"class", line.class_name},
                     {"kind", line.kind},
                     {"region", line.region},
                     {"accelerator_hours", line.accelerator_hours},
                     {"cost", ToJson(line.cost)}});
  }
  json contributions = json::array();
  for (const auto& part : forecast.contributions) {
    contributions.push_back({{"class", part.class_name},
                             {"target", part.target},
                             {"cost", ToJson(part.cost)}});
  }
  return {{"currency", forecast.currency},
          {"hours", forecast.hours},
          {"total", ToJson(forecast.total)},
          {"classes", std::move(classes)},
          {"lines", std::move(lines)},
          {"contributions", std::move(contributions)},
          {"unpriced_classes", forecast.unpriced_classes}};
}

json ShortfallsOf(const Configuration& configuration,
                  std::span<const FleetPart> fleet) {
  json array = json::array();
  for (const auto& gap : policy::FindShortfalls(configuration, fleet)) {
    array.push_back(
        {{"class", gap.class_name},
         {"missing_tokens_per_second", gap.missing_tokens_per_second},
         {"kind", gap.kind},
         {"accelerators", gap.accelerators}});
  }
  return array;
}

}  // namespace

json ForecastReport(const Configuration& configuration,
                    const BackendsView& backends) {
  const auto fleet = FleetOf(backends);
  json report = ToJson(policy::ForecastSpending(configuration, fleet));
  report["shortfalls"] = ShortfallsOf(configuration, fleet);
  return report;
}

json WhatIfReport(const Configuration& configuration,
                  const Configuration& what_if, const BackendsView& backends) {
  const auto fleet = FleetOf(backends);
  const Forecast now = policy::ForecastSpending(configuration, fleet);
  const Forecast then = policy::ForecastSpending(what_if, fleet);
  const auto difference = policy::Difference(now, then);
  json report = ForecastReport(what_if, backends);
  json classes = json::array();
  for (const auto& item : difference.classes) {
    classes.push_back(
        {{"class", item.class_name}, {"cost", ToJson(item.change)}});
  }
  report["difference"] = {{"total", ToJson(difference.total)},
                          {"classes", std::move(classes)}};
  return report;
}

json SpendingReport(const Configuration& configuration,
                    const BackendsView& backends, const std::string& month,
                    std::span<const UsedHours> used) {
  json lines = json::array();
  std::vector<policy::UsedHours> hours;
  hours.reserve(used.size());
  for (const UsedHours& entry : used) {
    hours.push_back({entry.kind, entry.region, entry.hours});
    const double cost =
        policy::CostOfUsage(configuration.price_sheet, {&hours.back(), 1});
    lines.push_back({{"kind", entry.kind},
                     {"region", entry.region},
                     {"accelerator_hours", entry.hours},
                     {"cost", cost}});
  }
  const Forecast forecast =
      policy::ForecastSpending(configuration, FleetOf(backends));
  return {{"month", month},
          {"currency", configuration.price_sheet.currency},
          {"used", policy::CostOfUsage(configuration.price_sheet, hours)},
          {"lines", std::move(lines)},
          {"forecast", ToJson(forecast.total)},
          {"unwritten_minutes", 5}};
}

}  // namespace qp
