#include "pipeline_run.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "policy/admission.h"
#include "routing_policy.h"

namespace qp::bench {

namespace {

constexpr double kMeanTokens = 100;
constexpr double kReportInterval = 0.5;  // seconds
constexpr double kPatience = 2;          // seconds

TimePoint At(double seconds) {
  return TimePoint{} + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(seconds));
}

struct Stream {
  policy::Chain chain;
  std::vector<std::size_t> engines;
  int daemon = 0;
  int tokens_left = 0;
  int tokens_done = 0;
  double arrived = 0;
  double first_token = 0;
  double last_token = 0;
};

struct Event {
  double at = 0;
  std::size_t stream = 0;
  std::size_t stage = 0;
  bool operator>(const Event& other) const { return this->at > other.at; }
};

struct Engine {
  double seconds_per_layer = 0;
  double free_at = 0;
  std::uint32_t running = 0;
  std::deque<std::size_t> waiting;  ///< Streams.
};

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[rank];
}

class Run {
 public:
  Run(const Fleet& fleet, const RunSettings& settings)
      : fleet(fleet),
        settings(settings),
        generator(settings.seed),
        admission(settings.seed),
        view(fleet.view),
        next_view(fleet.view),
        links(fleet.view.backends.size() * fleet.view.backends.size()) {
    for (std::size_t i = 0; i < fleet.view.backends.size(); ++i) {
      const Backend& backend = fleet.view.backends[i];
      const auto kind = std::find_if(
          fleet.kinds.begin(), fleet.kinds.end(),
          [&](const auto& item) { return item.name == backend.kind; });
      this->engines.push_back({1 / kind->layer_tokens_per_second, 0, 0, {}});
      this->by_name.emplace(backend.name, i);
    }
    for (int i = 0; i < settings.daemons; ++i) {
      this->routing.push_back(MakePolicy(settings.routing, settings.seed + i));
    }
    this->ConfigureAdmission();
  }

  RunResult Execute() {
    const double end = this->settings.warm_up_seconds + this->settings.seconds;
    std::exponential_distribution<double> gap(
        this->settings.offered_tokens_per_second / kMeanTokens);
    double arrival = gap(this->generator);
    double report = 0;
    for (;;) {
      const double event = this->events.empty() ? end : this->events.top().at;
      this->now = std::min({arrival, report, event});
      if (this->now >= end) {
        return this->Result();
      }
      if (this->now == report) {
        this->TakeReports();
        report += kReportInterval;
      } else if (this->now == arrival) {
        this->Arrive();
        arrival += gap(this->generator);
      } else {
        const Event next = this->events.top();
        this->events.pop();
        this->ServeToken(next);
      }
    }
  }

 private:
  void ConfigureAdmission() {
    Configuration configuration;
    RequestClass request_class;
    request_class.name = "class";
    request_class.model = this->fleet.model().name;
    request_class.target.tokens_per_second =
        this->settings.admitted_tokens_per_second;
    request_class.target.requests_per_second =
        this->settings.offered_tokens_per_second / kMeanTokens * 2;
    configuration.classes.push_back(request_class);
    BudgetsView budgets;
    budgets.shares["class"] = {request_class.target.requests_per_second,
                               request_class.target.tokens_per_second};
    this->admission.Update(configuration, budgets, TimePoint{});
  }

  bool IsMeasured() const {
    return this->now >= this->settings.warm_up_seconds;
  }

  /// What was taken one interval ago arrives now.
  void TakeReports() {
    std::swap(this->view, this->next_view);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      Backend& backend = this->next_view.backends[i];
      backend.running = this->engines[i].running;
      backend.queued =
          static_cast<std::uint32_t>(this->engines[i].waiting.size());
      backend.reported_at = At(this->now);
    }
  }

  void Arrive() {
    std::geometric_distribution<int> length(1 / kMeanTokens);
    std::uniform_int_distribution<int> any(0, this->settings.daemons - 1);
    Stream stream;
    stream.tokens_left = 1 + length(this->generator);
    stream.daemon = any(this->generator);
    stream.arrived = this->now;
    policy::AdmissionRequest request;
    request.class_name = "class";
    request.workspace = "workspace";
    request.expected_tokens = stream.tokens_left;
    if (!this->admission.Decide(request, At(this->now)).admitted()) {
      return;
    }
    this->admitted += this->IsMeasured() ? 1 : 0;
    policy::ChainQuery query;
    query.model = &this->fleet.model();
    query.expected_tokens = kMeanTokens;
    query.kinds = this->fleet.kinds;
    query.inter_token_latency = kBetweenTokens;
    auto& routing = *this->routing[stream.daemon];
    auto chain = routing.Choose(this->view, query, At(this->now));
    if (!chain) {
      return;
    }
    stream.chain = std::move(*chain);
    for (const auto& stage : stream.chain.stages) {
      stream.engines.push_back(this->by_name.at(stage.engine));
    }
    routing.OnStarted(stream.chain, At(this->now));
    this->streams.push_back(std::move(stream));
    this->TryStart(this->streams.size() - 1);
  }

  /// Takes a slot on all engines or waits at the first that has none.
  void TryStart(std::size_t index) {
    Stream& stream = this->streams[index];
    if (this->now - stream.arrived > kPatience) {
      this->abandoned += this->IsMeasured() ? 1 : 0;
      this->routing[stream.daemon]->OnFinished(stream.chain, Duration{},
                                               At(this->now));
      return;
    }
    for (const auto engine : stream.engines) {
      if (this->engines[engine].running >=
          this->fleet.view.backends[engine].slots) {
        this->engines[engine].waiting.push_back(index);
        return;
      }
    }
    for (const auto engine : stream.engines) {
      ++this->engines[engine].running;
    }
    this->events.push({this->now, index, 0});
  }

  void ServeToken(const Event& event) {
    Stream& stream = this->streams[event.stream];
    const policy::ChainStage& stage = stream.chain.stages[event.stage];
    Engine& engine = this->engines[stream.engines[event.stage]];
    const double service =
        engine.seconds_per_layer * (stage.last_layer - stage.first_layer + 1);
    engine.free_at = std::max(engine.free_at, this->now) + service;
    const bool is_last = event.stage + 1 == stream.engines.size();
    const std::size_t next_stage = is_last ? 0 : event.stage + 1;
    const double arrives =
        this->CrossLink(stream.engines[event.stage], stream.engines[next_stage],
                        engine.free_at, !is_last);
    if (is_last && this->FinishToken(event.stream, arrives)) {
      return;
    }
    this->events.push({arrives, event.stream, next_stage});
  }

  /// Time at which what leaves `from` at `leaves` is at `to`.
  double CrossLink(std::size_t from, std::size_t to, double leaves,
                   bool carries_activation) {
    if (from == to) {
      return leaves;
    }
    const Backend& sender = this->fleet.view.backends[from];
    const Backend& receiver = this->fleet.view.backends[to];
    const policy::Link link =
        this->map.Between({sender.region, sender.availability_zone},
                          {receiver.region, receiver.availability_zone});
    double& free_at = this->links[from * this->engines.size() + to];
    const double bytes =
        carries_activation
            ? static_cast<double>(this->fleet.model().activation_bytes)
            : 0;
    free_at = std::max(free_at, leaves) + bytes / link.bytes_per_second;
    return free_at + std::chrono::duration<double>(link.latency).count();
  }

  /// Whether the answer is complete.
  bool FinishToken(std::size_t index, double at) {
    Stream& stream = this->streams[index];
    this->tokens += this->IsMeasured() ? 1 : 0;
    stream.first_token = stream.tokens_done == 0 ? at : stream.first_token;
    stream.last_token = at;
    ++stream.tokens_done;
    if (--stream.tokens_left > 0) {
      return false;
    }
    const double between = (stream.last_token - stream.first_token) /
                           std::max(stream.tokens_done - 1, 1);
    if (stream.arrived >= this->settings.warm_up_seconds) {
      this->first_tokens.push_back(stream.first_token - stream.arrived);
      this->between_tokens.push_back(between);
    }
    this->routing[stream.daemon]->OnFinished(
        stream.chain,
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(between)),
        At(this->now));
    for (const auto engine : stream.engines) {
      --this->engines[engine].running;
    }
    const auto freed = stream.engines;  // TryStart may move the streams.
    for (const auto engine : freed) {
      this->StartWaiting(engine);
    }
    return true;
  }

  void StartWaiting(std::size_t engine) {
    auto& waiting = this->engines[engine].waiting;
    while (!waiting.empty() && this->engines[engine].running <
                                   this->fleet.view.backends[engine].slots) {
      const std::size_t index = waiting.front();
      waiting.pop_front();
      this->TryStart(index);
    }
  }

  RunResult Result() const {
    RunResult result;
    result.tokens_per_second =
        static_cast<double>(this->tokens) / this->settings.seconds;
    result.admitted = this->admitted;
    result.abandoned = this->abandoned;
    result.first_token_p95 = Percentile(this->first_tokens, 0.95);
    result.between_tokens_p95 = Percentile(this->between_tokens, 0.95);
    const double first_target =
        std::chrono::duration<double>(kFirstToken).count();
    const double between_target =
        std::chrono::duration<double>(kBetweenTokens).count();
    double within = 0;
    for (std::size_t i = 0; i < this->first_tokens.size(); ++i) {
      within += this->first_tokens[i] <= first_target &&
                        this->between_tokens[i] <= between_target
                    ? 1
                    : 0;
    }
    const auto ended = this->first_tokens.size() + this->abandoned;
    result.within_target = within / std::max<double>(ended, 1);
    return result;
  }

  const Fleet& fleet;
  RunSettings settings;
  std::mt19937_64 generator;
  policy::Admission admission;
  policy::LinkMap map;
  BackendsView view;
  BackendsView next_view;
  std::vector<Engine> engines;
  std::vector<double> links;  ///< When each is free, by sender and receiver.
  std::map<std::string, std::size_t, std::less<>> by_name;
  std::vector<std::unique_ptr<RoutingPolicy>> routing;
  std::vector<Stream> streams;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  double now = 0;
  std::size_t tokens = 0;
  std::size_t admitted = 0;
  std::size_t abandoned = 0;
  std::vector<double> first_tokens;
  std::vector<double> between_tokens;
};

}  // namespace

RunResult RunPipelines(const Fleet& fleet, const RunSettings& settings) {
  return Run(fleet, settings).Execute();
}

}  // namespace qp::bench
