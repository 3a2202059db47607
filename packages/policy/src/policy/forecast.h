#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"

namespace qp::policy {

/// Hours of a month with 31 days, so that CostRange::bound holds for every
/// month.
inline constexpr double kMonthHours = 744;

/// Accelerators of one kind in one region.
struct FleetPart {
  std::string kind;
  std::string region;
  double accelerators = 0;
};

/// A central estimate and an upper bound, in the price sheet's currency.
struct CostRange {
  double central = 0;
  double bound = 0;
};

/// Cost of a class on one accelerator kind in one region. `cost.central` is the
/// cost of the part of the class that is expected to run there. `cost.bound` is
/// the cost if the whole class ran there, so the bounds of several lines must
/// not be added.
struct ForecastLine {
  std::string class_name;
  std::string kind;
  std::string region;
  double accelerator_hours = 0;  ///< Central estimate.
  CostRange cost;
};

struct ClassForecast {
  std::string class_name;
  CostRange cost;
};

/// Cost of a class that is caused by one of its targets: the cost with the
/// target minus the cost without it. Negative if a latency target excludes a
/// more expensive kind.
struct TargetContribution {
  std::string class_name;
  std::string target;  ///< "tokens_per_second" or "between_tokens".
  CostRange cost;
};

struct Forecast {
  std::string currency;
  double hours = kMonthHours;
  CostRange total;
  std::vector<ClassForecast> classes;  ///< In the order of the configuration.
  std::vector<ForecastLine> lines;
  std::vector<TargetContribution> contributions;
  /// Classes of a model that no priced kind can run. Their cost is counted as
  /// 0, so the bound does not hold for them.
  std::vector<std::string> unpriced_classes;
};

/// Forecasts the spending over `hours` with all targets fully used. The central
/// estimate divides the work among the kinds that can meet the inter-token
/// latency target, or among all kinds if none can, in proportion to their
/// capacity in `fleet`; without a fleet, it assumes an equal number of
/// accelerators of each. The bound assumes for each class the most expensive
/// kind and region, whole accelerators, enough of them to hold the whole model,
/// and retries up to the retry budget. The cost of a class does not depend on
/// other classes. Classes of plain services use no accelerators.
Forecast ForecastSpending(const Configuration& configuration,
                          std::span<const FleetPart> fleet,
                          double hours = kMonthHours);

struct ClassDifference {
  std::string class_name;
  CostRange change;  ///< Cost in `what_if` minus cost in `now`.
};

struct ForecastDifference {
  CostRange total;
  /// Classes of either forecast; a class missing from one of them costs 0
  /// there.
  std::vector<ClassDifference> classes;
};

/// Returns the change of cost from `now` to `what_if`.
ForecastDifference Difference(const Forecast& now, const Forecast& what_if);

/// Accelerator time that a class has used.
struct UsedHours {
  std::string kind;
  std::string region;
  double hours = 0;
};

/// Cost of the used hours; hours of a kind and region without a price cost 0.
double CostOfUsage(const PriceSheet& sheet, std::span<const UsedHours> used);

/// A class whose targets the fleet does not meet.
struct Shortfall {
  std::string class_name;
  double missing_tokens_per_second = 0;
  /// Kind that would close the gap at the lowest price; empty if no kind can
  /// hold layers of the model and meet the inter-token latency target.
  std::string kind;
  /// Accelerators of that kind that close the gap, rounded up.
  double accelerators = 0;
};

/// Finds the classes whose targets cannot be met at the same time, by the
/// maximum flow from classes to the kinds that can meet their inter-token
/// latency target. Links between engines are not considered; PipelineBound
/// considers them for a given placement.
std::vector<Shortfall> FindShortfalls(const Configuration& configuration,
                                      std::span<const FleetPart> fleet);

}  // namespace qp::policy
