#include "policy/forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "policy/max_flow.h"
#include "policy/placement_policy.h"
#include "policy/retry_budget.h"

namespace qp::policy {

namespace {

/// Integer flow units per layer times token per second.
constexpr double kFlowUnitsPerLayerToken = 10;

/// An accelerator kind in a region, with its price.
struct Offer {
  const AcceleratorKind* kind = nullptr;
  const Price* price = nullptr;
  /// Capacity in layers times tokens per second. The work of a class is divided
  /// among offers in proportion to their weights.
  double weight = 0;
};

const AcceleratorKind* FindKind(const Configuration& configuration,
                                std::string_view name) {
  const auto found =
      std::find_if(configuration.kinds.begin(), configuration.kinds.end(),
                   [&](const auto& kind) { return kind.name == name; });
  return found == configuration.kinds.end() ? nullptr : &*found;
}

/// Whether a single stream meets the inter-token latency target if all layers
/// run on this kind.
bool IsFastEnough(const AcceleratorKind& kind, const ModelSpec& model,
                  const Target& target) {
  const std::chrono::duration<double> per_token{model.layers /
                                                kind.layer_tokens_per_second};
  return target.between_tokens <= Duration::zero() ||
         per_token <= target.between_tokens;
}

bool CanHoldLayers(const Configuration& configuration,
                   const AcceleratorKind& kind, const ModelSpec& model) {
  return kind.layer_tokens_per_second > 0 &&
         LayersThatFit(model, kind.name, configuration.kinds) > 0;
}

/// Number of accelerators of a kind in a region; 1 if there is no fleet.
double CountAccelerators(std::span<const FleetPart> fleet,
                         std::string_view kind, std::string_view region) {
  double count = 0;
  for (const auto& part : fleet) {
    count += part.kind == kind && part.region == region ? part.accelerators : 0;
  }
  return fleet.empty() ? 1 : count;
}

/// Finds the priced offers that can hold layers of the model.
std::vector<Offer> FindOffers(const Configuration& configuration,
                              std::span<const FleetPart> fleet,
                              const ModelSpec& model) {
  std::vector<Offer> offers;
  for (const auto& price : configuration.price_sheet.prices) {
    const auto* kind = FindKind(configuration, price.kind);
    if (kind != nullptr && CanHoldLayers(configuration, *kind, model)) {
      offers.push_back(
          {kind, &price,
           kind->layer_tokens_per_second *
               CountAccelerators(fleet, price.kind, price.region)});
    }
  }
  return offers;
}

/// Sets the weight of offers that are too slow for the target to 0, unless no
/// offer with weight would be left. If the fleet contains none of the offers,
/// each receives the weight of one accelerator.
void SetWeightsByTarget(std::vector<Offer>& offers, const ModelSpec& model,
                        const Target& target) {
  const auto is_usable = [&](const Offer& offer) {
    return offer.weight > 0 && IsFastEnough(*offer.kind, model, target);
  };
  if (std::any_of(offers.begin(), offers.end(), is_usable)) {
    for (auto& offer : offers) {
      offer.weight = is_usable(offer) ? offer.weight : 0;
    }
  }
  const bool none_weighted =
      std::none_of(offers.begin(), offers.end(),
                   [](const auto& offer) { return offer.weight > 0; });
  for (auto& offer : offers) {
    offer.weight =
        none_weighted ? offer.kind->layer_tokens_per_second : offer.weight;
  }
}

/// Computes the cost of one class.
class ClassCostCalculator {
 public:
  ClassCostCalculator(const Configuration& configuration,
                      std::span<const FleetPart> fleet,
                      const RequestClass& request_class, const ModelSpec& model,
                      double hours)
      : configuration(configuration),
        fleet(fleet),
        request_class(request_class),
        model(model),
        hours(hours) {}

  bool IsPriced() const {
    return !FindOffers(this->configuration, this->fleet, this->model).empty();
  }

  std::vector<ForecastLine> Lines(const Target& target) const {
    auto offers = FindOffers(this->configuration, this->fleet, this->model);
    SetWeightsByTarget(offers, this->model, target);
    double total_weight = 0;
    for (const auto& offer : offers) {
      total_weight += offer.weight;
    }
    const double work = target.tokens_per_second * this->model.layers;
    std::vector<ForecastLine> lines;
    for (const auto& offer : offers) {
      ForecastLine line;
      line.class_name = this->request_class.name;
      line.kind = offer.kind->name;
      line.region = offer.price->region;
      line.accelerator_hours = work * offer.weight / total_weight /
                               offer.kind->layer_tokens_per_second *
                               this->hours;
      line.cost.central = line.accelerator_hours * offer.price->per_hour;
      line.cost.bound = this->MaxAccelerators(*offer.kind, work) * this->hours *
                        offer.price->per_hour;
      lines.push_back(std::move(line));
    }
    return lines;
  }

  /// Adds the central estimates and takes the maximum of the bounds, since each
  /// bound is the cost of the whole class on one kind.
  static CostRange CombineLines(std::span<const ForecastLine> lines) {
    CostRange sum;
    for (const auto& line : lines) {
      sum.central += line.cost.central;
      sum.bound = std::max(sum.bound, line.cost.bound);
    }
    return sum;
  }

 private:
  /// Number of whole accelerators needed if all work, including retries, runs
  /// on one kind; at least the number that holds the whole model. `work` is in
  /// layers times tokens per second.
  double MaxAccelerators(const AcceleratorKind& kind, double work) const {
    if (work <= 0) {
      return 0;
    }
    const double with_retries = work * (1 + RetryBudget::kRetriesPerRequest);
    const double for_throughput =
        std::ceil(with_retries / kind.layer_tokens_per_second);
    const double layers_per_accelerator =
        LayersThatFit(this->model, kind.name, this->configuration.kinds);
    return std::max(for_throughput,
                    std::ceil(this->model.layers / layers_per_accelerator));
  }

  const Configuration& configuration;
  std::span<const FleetPart> fleet;
  const RequestClass& request_class;
  const ModelSpec& model;
  double hours;
};

void AddContributions(const ClassCostCalculator& calculator,
                      const RequestClass& request_class, Forecast& forecast) {
  const CostRange with =
      ClassCostCalculator::CombineLines(calculator.Lines(request_class.target));
  const auto add = [&](std::string_view name, const Target& without) {
    const CostRange rest =
        ClassCostCalculator::CombineLines(calculator.Lines(without));
    forecast.contributions.push_back(
        {request_class.name,
         std::string(name),
         {with.central - rest.central, with.bound - rest.bound}});
  };
  Target without_throughput = request_class.target;
  without_throughput.tokens_per_second = 0;
  add("tokens_per_second", without_throughput);
  Target without_latency = request_class.target;
  without_latency.between_tokens = Duration::zero();
  add("between_tokens", without_latency);
}

}  // namespace

Forecast ForecastSpending(const Configuration& configuration,
                          std::span<const FleetPart> fleet, double hours) {
  Forecast forecast;
  forecast.currency = configuration.price_sheet.currency;
  forecast.hours = hours;
  for (const auto& request_class : configuration.classes) {
    ClassForecast entry{request_class.name, {}};
    const auto* model = configuration.FindModel(request_class.model);
    if (model != nullptr) {
      const ClassCostCalculator calculator(configuration, fleet, request_class,
                                           *model, hours);
      const auto lines = calculator.Lines(request_class.target);
      entry.cost = ClassCostCalculator::CombineLines(lines);
      forecast.lines.insert(forecast.lines.end(), lines.begin(), lines.end());
      AddContributions(calculator, request_class, forecast);
      if (!calculator.IsPriced()) {
        forecast.unpriced_classes.push_back(request_class.name);
      }
    }
    forecast.total.central += entry.cost.central;
    forecast.total.bound += entry.cost.bound;
    forecast.classes.push_back(std::move(entry));
  }
  return forecast;
}

ForecastDifference Difference(const Forecast& now, const Forecast& what_if) {
  std::map<std::string, CostRange> changes;
  for (const auto& entry : now.classes) {
    changes[entry.class_name].central -= entry.cost.central;
    changes[entry.class_name].bound -= entry.cost.bound;
  }
  for (const auto& entry : what_if.classes) {
    changes[entry.class_name].central += entry.cost.central;
    changes[entry.class_name].bound += entry.cost.bound;
  }
  ForecastDifference difference;
  difference.total = {what_if.total.central - now.total.central,
                      what_if.total.bound - now.total.bound};
  for (const auto& [name, change] : changes) {
    difference.classes.push_back({name, change});
  }
  return difference;
}

double CostOfUsage(const PriceSheet& sheet, std::span<const UsedHours> used) {
  double spending = 0;
  for (const auto& item : used) {
    for (const auto& price : sheet.prices) {
      if (price.kind == item.kind && price.region == item.region) {
        spending += item.hours * price.per_hour;
      }
    }
  }
  return spending;
}

namespace {

/// Flow network from classes to the kinds of a fleet.
class SupplyNetwork {
 public:
  SupplyNetwork(const Configuration& configuration,
                std::span<const FleetPart> fleet)
      : configuration(configuration), flow(2) {
    for (const auto& kind : configuration.kinds) {
      double accelerators = 0;
      for (const auto& part : fleet) {
        accelerators += part.kind == kind.name ? part.accelerators : 0;
      }
      const auto node = this->flow.AddNode();
      this->flow.AddEdge(
          node, kSink,
          ToFlowUnits(accelerators * kind.layer_tokens_per_second));
      this->kinds.push_back(node);
    }
  }

  void AddClass(const RequestClass& request_class, const ModelSpec& model) {
    const double work = request_class.target.tokens_per_second * model.layers;
    const auto node = this->flow.AddNode();
    this->demands.push_back(
        {&request_class, &model,
         this->flow.AddEdge(kSource, node, ToFlowUnits(work)),
         ToFlowUnits(work)});
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
      if (this->CanServe(this->configuration.kinds[i], request_class, model)) {
        this->flow.AddEdge(node, this->kinds[i], ToFlowUnits(work));
      }
    }
  }

  std::vector<Shortfall> Solve() {
    this->flow.Solve(kSource, kSink);
    std::vector<Shortfall> shortfalls;
    for (const auto& demand : this->demands) {
      const auto missing = demand.units - this->flow.FlowOn(demand.edge);
      if (missing > 0) {
        shortfalls.push_back(this->MakeShortfall(
            demand, static_cast<double>(missing) / kFlowUnitsPerLayerToken));
      }
    }
    return shortfalls;
  }

 private:
  static constexpr MaxFlow::Node kSource = 0;
  static constexpr MaxFlow::Node kSink = 1;

  struct Demand {
    const RequestClass* request_class = nullptr;
    const ModelSpec* model = nullptr;
    MaxFlow::Edge edge = 0;
    std::int64_t units = 0;
  };

  static std::int64_t ToFlowUnits(double layer_tokens_per_second) {
    // Keeps the rounded value within std::int64_t.
    constexpr double kMaxUnits = 1e17;
    return std::llround(
        std::min(layer_tokens_per_second * kFlowUnitsPerLayerToken, kMaxUnits));
  }

  bool CanServe(const AcceleratorKind& kind, const RequestClass& request_class,
                const ModelSpec& model) const {
    return CanHoldLayers(this->configuration, kind, model) &&
           IsFastEnough(kind, model, request_class.target);
  }

  Shortfall MakeShortfall(const Demand& demand, double missing_work) const {
    Shortfall shortfall;
    shortfall.class_name = demand.request_class->name;
    shortfall.missing_tokens_per_second = missing_work / demand.model->layers;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& kind : this->configuration.kinds) {
      if (!this->CanServe(kind, *demand.request_class, *demand.model)) {
        continue;
      }
      const double price =
          this->LowestPrice(kind.name) / kind.layer_tokens_per_second;
      if (shortfall.kind.empty() || price < lowest) {
        lowest = price;
        shortfall.kind = kind.name;
        shortfall.accelerators =
            std::ceil(missing_work / kind.layer_tokens_per_second);
      }
    }
    return shortfall;
  }

  double LowestPrice(std::string_view kind) const {
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& price : this->configuration.price_sheet.prices) {
      if (price.kind == kind) {
        lowest = std::min(lowest, price.per_hour);
      }
    }
    return lowest;
  }

  const Configuration& configuration;
  MaxFlow flow;
  std::vector<MaxFlow::Node> kinds;
  std::vector<Demand> demands;
};

}  // namespace

std::vector<Shortfall> FindShortfalls(const Configuration& configuration,
                                      std::span<const FleetPart> fleet) {
  SupplyNetwork network(configuration, fleet);
  for (const auto& request_class : configuration.classes) {
    const auto* model = configuration.FindModel(request_class.model);
    if (model != nullptr) {
      network.AddClass(request_class, *model);
    }
  }
  return network.Solve();
}

}  // namespace qp::policy
