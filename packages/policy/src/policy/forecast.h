#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"

namespace qp::policy {

/// Hours of a month with 31 days, so that no month exceeds the bound.
inline constexpr double kMonthHours = 744;

/// Accelerators of one kind in one region.
struct FleetPart {
  std::string kind;
  std::string region;
  double accelerators = 0;
};

/// A central figure and an upper bound, in the price sheet's currency.
struct CostRange {
  double central = 0;
  double bound = 0;
};

/// Cost of a class on one kind in one region. `cost.central` counts the part
/// of the class expected there; `cost.bound` is the cost if all of it ran
/// there, so that bounds of several lines do not add up.
struct ForecastLine {
  std::string class_name;
  std::string kind;
  std::string region;
  double accelerator_hours = 0;  ///< Central figure.
  CostRange cost;
};

struct ClassForecast {
  std::string class_name;
  CostRange cost;
};

/// How much of a class's cost one of its targets causes: the cost without the
/// target subtracted from the cost with it. May be below 0 for a latency
/// target that rules out a dearer kind.
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
  /// Classes of a model without any priced kind that could run it. They cost
  /// nothing above, so the bound does not hold for them.
  std::vector<std::string> unpriced_classes;
};

/// Spending of a month with all targets fully used. The central figure assumes
/// the kinds that can keep the time between tokens, in proportion to their
/// capacity in `fleet` or, without one, an equal number of each. The bound
/// assumes for each class the costliest kind and region, whole accelerators,
/// room for the whole model, and retries up to the retry budget. Cost per
/// class does not depend on other classes. Classes of plain services use no
/// accelerators.
Forecast ForecastSpending(const Configuration& configuration,
                          std::span<const FleetPart> fleet,
                          double hours = kMonthHours);

struct ClassDifference {
  std::string class_name;
  CostRange change;  ///< Of the second forecast over the first.
};

struct ForecastDifference {
  CostRange total;
  /// Classes of both forecasts; a class that is missing in one costs 0 there.
  std::vector<ClassDifference> classes;
};

ForecastDifference Difference(const Forecast& now, const Forecast& what_if);

/// Accelerator time that a class has used.
struct UsedHours {
  std::string kind;
  std::string region;
  double hours = 0;
};

/// Cost of used hours; hours of kinds without a price cost nothing.
double CostOfUsage(const PriceSheet& sheet, std::span<const UsedHours> used);

/// A class whose targets the fleet does not meet.
struct Shortfall {
  std::string class_name;
  double missing_tokens_per_second = 0;
  /// Kind that would close the gap at the lowest price; empty if no kind is
  /// fast enough for the time between tokens.
  std::string kind;
  double accelerators = 0;  ///< Of that kind, rounded up.
};

/// Whether the targets can be met at the same time, by the maximum flow from
/// classes to the kinds that can keep their time between tokens. Empty if they
/// can. Links between engines are not considered; PipelineBound does that for
/// a placement.
std::vector<Shortfall> FindShortfalls(const Configuration& configuration,
                                      std::span<const FleetPart> fleet);

}  // namespace qp::policy
