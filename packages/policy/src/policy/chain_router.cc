#include "policy/chain_router.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "foundation/hash.h"
#include "policy/link_map.h"
#include "policy/load_estimate.h"
#include "policy/pipeline_plan.h"
#include "policy/prefix_index.h"
#include "policy/weighted_round_robin.h"

namespace qp::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Streams per slot at which an engine becomes busy. A chain with a busy engine
/// does not replace another chain because of a shorter predicted time. It can
/// replace it only for its cached prefixes and if it is not more loaded.
constexpr double kBusyLoad = 0.7;
/// Additional load, in streams per slot, that is accepted for an engine whose
/// hit probability is 1. It bounds the load that a wrong prediction can add.
constexpr double kPrefixLoadAllowance = 0.25;
/// Weight of cached prefixes in prefix affinity sampling. The share of a group
/// is multiplied by up to 1 + this value if one of its engines caches the
/// prefix.
constexpr double kPrefixShareGain = 8;
/// Time until the next load report arrives: two gossip intervals of 0.5 s.
constexpr Seconds kReportInterval{1.0};
/// Load multiplies the share that a hop has in the maximum flow by at most this
/// factor and at least its inverse.
constexpr double kMaxShareFactor = 4;
/// Weight of one observation in the correction of an engine.
constexpr double kObservationWeight = 0.2;
/// Limit of a correction, as a natural logarithm: predicted times are
/// multiplied by a factor between 1/20 and 20.
constexpr double kMaxLogCorrection = 3.0;
/// Half-life of a correction, so that an engine that was avoided because it was
/// slow is tried again.
constexpr Seconds kCorrectionHalfLife{30.0};
/// Number of cached plans. There is one per model, set of engines and latency
/// target; all are dropped when the cache is full.
constexpr std::size_t kMaxPlans = 16;

/// Decaying correction of the predicted step times of an engine.
struct Correction {
  double log_factor = 0;  ///< At the time `at`.
  TimePoint at{};
  /// Prediction for the latest stream on the engine; the next observation is
  /// compared with it.
  Seconds predicted_step_time{};

  double At(TimePoint now) const {
    const Seconds age = now - this->at;
    return this->log_factor *
           std::exp2(-std::max(age / kCorrectionHalfLife, 0.0));
  }
  void Add(double log_deviation, TimePoint now) {
    this->log_factor =
        std::clamp(this->At(now) + kObservationWeight * log_deviation,
                   -kMaxLogCorrection, kMaxLogCorrection);
    this->at = now;
  }
};

/// An engine that could run the layers from `first_layer` on, with its load and
/// the predictions for it.
struct CandidateStage {
  const Backend* engine = nullptr;
  const EngineGroup* group = nullptr;
  std::uint32_t first_layer = 0;
  double streams = 0;          ///< Estimated streams on the engine now.
  double time_factor = 1;      ///< Correction of predicted times.
  double hit_probability = 0;  ///< That the engine caches the prompt's prefix.

  /// Streams per slot, multiplied by the correction of the engine's times.
  double Load() const {
    return this->time_factor * this->streams /
           std::max<std::uint32_t>(this->engine->slots, 1);
  }
  /// Load minus the load that is accepted for a cached prefix.
  double PrefixAdjustedLoad() const {
    return this->Load() - kPrefixLoadAllowance * this->hit_probability;
  }
  /// Fraction of the engine's layers that the stage runs.
  double LayerFraction() const {
    return static_cast<double>(this->group->last_layer - this->first_layer +
                               1) /
           (this->group->last_layer - this->group->first_layer + 1);
  }
  /// Time of one token in the stage while the engine runs no other streams.
  Seconds StepTime() const {
    return Seconds(this->LayerFraction() * this->time_factor /
                   this->group->TokensPerSecond());
  }
  /// Time in which the engine produces one token of each running stream,
  /// including the new one.
  Seconds RoundTime() const {
    const double slots = std::max<std::uint32_t>(this->engine->slots, 1);
    return this->StepTime() * std::min(this->streams + 1, slots);
  }
  Seconds PrefillTime(double prompt_tokens) const {
    return Seconds(prompt_tokens * (1 - this->hit_probability) /
                   this->group->TokensPerSecond()) *
           this->LayerFraction() * this->time_factor;
  }
};

/// A hop of a candidate chain: index into the hops of a node of PlanState.
struct HopChoice {
  std::size_t node = 0;
  std::size_t hop = 0;
};

/// An engine of a candidate chain: index into the members of a group.
struct MemberChoice {
  std::size_t group = 0;
  std::size_t member = 0;
};

/// A sampled chain with the predictions by which it is compared.
struct CandidateChain {
  std::vector<CandidateStage> stages;
  std::vector<HopChoice> hops;
  std::vector<MemberChoice> members;
  Seconds time_to_first_token{};
  Seconds inter_token_latency{};
  double load = 0;             ///< Load of the most loaded stage.
  double hit_probability = 0;  ///< Mean over the stages.
  /// Whether an engine was chosen because it probably caches the prefix.
  bool follows_prefix = false;

  Seconds TotalTime(double tokens) const {
    return this->time_to_first_token + this->inter_token_latency * tokens;
  }
};

/// A plan together with the state of its weighted round robins. Node 0 is the
/// start of all chains, and its hops are the plan's entries. Node i + 1 is the
/// output of group i.
struct PlanState {
  PipelinePlan plan;
  std::vector<WeightedRoundRobin> hops;
  std::vector<WeightedRoundRobin> members;
  std::vector<double> inflows;  ///< By group, in tokens per second.

  PlanState(PipelinePlan planned, std::mt19937_64& generator)
      : plan(std::move(planned)), inflows(this->plan.groups.size()) {
    this->hops.emplace_back(this->plan.entries.size(), generator);
    for (std::size_t i = 0; i < this->plan.groups.size(); ++i) {
      this->hops.emplace_back(this->plan.next[i].size(), generator);
      this->members.emplace_back(this->plan.groups[i].members.size(),
                                 generator);
    }
    for (std::size_t node = 0; node <= this->plan.groups.size(); ++node) {
      for (const auto& hop : this->HopsOf(node)) {
        this->inflows[hop.group] += hop.tokens_per_second;
      }
    }
  }

  const std::vector<GroupHop>& HopsOf(std::size_t node) const {
    return node == 0 ? this->plan.entries : this->plan.next[node - 1];
  }
};

}  // namespace

struct ChainRouter::State {
  std::mt19937_64 generator;
  LoadEstimate loads;
  NameMap<Correction> corrections;
  LinkMap links;
  std::unordered_map<std::uint64_t, PlanState> plans;
  PrefixFrequencies prefix_frequencies;
  TimePoint last_choice_at{};  ///< Time of the latest Choose.
  std::optional<Duration> mean_stream_duration;

  /// Factor for the predicted times of an engine; 1 if nothing was observed.
  double TimeFactor(std::string_view engine, TimePoint now) const {
    const auto found = this->corrections.find(engine);
    return found == this->corrections.end() ? 1
                                            : std::exp(found->second.At(now));
  }

  /// Returns the cached plan for the usable engines, or makes it. The reference
  /// is valid until the next call.
  PlanState& PlanFor(const BackendsView& backends, const ChainQuery& query);
};

namespace {

bool IsUsable(const Backend& backend, const ChainQuery& query) {
  return backend.role == BackendRole::kEngine && backend.IsRoutable() &&
         backend.model == query.model->name &&
         backend.first_layer <= backend.last_layer &&
         backend.last_layer < query.model->layers &&
         std::find(query.excluded.begin(), query.excluded.end(),
                   backend.name) == query.excluded.end();
}

std::uint64_t MixHash(std::uint64_t hash, std::uint64_t value) {
  // Multiplier and shift of splitmix64 (Steele, Lea, Flood 2014).
  hash = (hash ^ value) * 0xbf58476d1ce4e5b9ULL;
  return hash ^ (hash >> 31U);
}

/// How the next stage is chosen.
enum class SamplingMode {
  kRoundRobin,      ///< Weighted by the shares, with low variance.
  kRandom,          ///< Independent random draws, weighted by the shares.
  kPrefixAffinity,  ///< As kRandom, but prefers engines that cache the prefix.
};

/// Samples chains for one request. `time_factor_of` maps an engine's name to
/// the correction of its predicted times.
template <class TimeFactorOf>
class ChainSampler {
 public:
  ChainSampler(std::mt19937_64& generator, const LoadEstimate& loads,
               const LinkMap& links, PlanState& plan_state,
               const BackendsView& backends, const ChainQuery& query,
               std::optional<Duration> mean_stream_duration,
               double prefix_frequency, TimeFactorOf time_factor_of,
               TimePoint now)
      : generator(generator),
        loads(loads),
        links(links),
        plan_state(plan_state),
        plan(plan_state.plan),
        backends(backends),
        query(query),
        mean_stream_duration(mean_stream_duration),
        prefix_frequency(prefix_frequency),
        time_factor_of(time_factor_of),
        now(now),
        group_loads(this->plan.groups.size()),
        hop_shares(this->plan.groups.size() + 1) {}

  CandidateChain Sample(SamplingMode mode) {
    CandidateChain candidate;
    std::uint32_t layer = 0;
    std::size_t node = 0;
    while (layer < this->query.model->layers) {
      const std::size_t hop = this->ChooseHop(node, mode);
      const std::size_t group = this->plan_state.HopsOf(node)[hop].group;
      std::size_t member = this->ChooseMember(group, mode);
      if (mode == SamplingMode::kPrefixAffinity) {
        if (const auto holder = this->ChoosePrefixHolder(group, member)) {
          member = *holder;
          candidate.follows_prefix = true;
        }
      }
      candidate.hops.push_back({node, hop});
      candidate.members.push_back({group, member});
      candidate.stages.push_back(this->MakeStage(group, member, layer));
      layer = this->plan.groups[group].last_layer + 1;
      node = group + 1;
    }
    this->Predict(candidate);
    return candidate;
  }

  /// Advances the round robins by the candidate that was chosen.
  void Commit(const CandidateChain& candidate) {
    for (const auto& choice : candidate.hops) {
      this->plan_state.hops[choice.node].Commit(this->HopShares(choice.node),
                                                choice.hop);
    }
    for (const auto& choice : candidate.members) {
      this->plan_state.members[choice.group].Commit(
          this->LoadOf(choice.group).shares, choice.member);
    }
  }

 private:
  /// Estimated load of a group.
  struct GroupLoad {
    std::vector<double> streams;  ///< By member.
    std::vector<double> shares;   ///< Of the group's next streams, by member.
    double total_streams = 0;     ///< Of all members.
    Seconds stream_duration{};

    /// Number of streams that arrive before the next report: as many of
    /// `streams` as end in this time, since each is replaced; at least 1.
    double Arrivals(double streams) const {
      const Seconds horizon = kReportInterval;
      return std::max(streams * (horizon / this->stream_duration), 1.0);
    }
  };

  const Backend& Member(std::size_t group, std::size_t member) const {
    return this->backends.backends[this->plan.groups[group].members[member]];
  }

  double HitProbability(const Backend& engine) const {
    return this->query.prefixes == nullptr || this->query.prefix_hash == 0
               ? 0
               : this->query.prefixes->HitProbability(
                     engine.name, this->query.prefix_hash, this->now);
  }

  /// Returns the member that most probably caches the prefix, with its hit
  /// probability, which is 0 if no member is known to cache the prefix.
  std::pair<std::size_t, double> FindLikeliestHolder(std::size_t group) const {
    std::pair<std::size_t, double> best{0, 0};
    for (std::size_t i = 0; i < this->plan.groups[group].members.size(); ++i) {
      const double hit_probability =
          this->HitProbability(this->Member(group, i));
      if (hit_probability > best.second) {
        best = {i, hit_probability};
      }
    }
    return best;
  }

  /// Probability with which a request is sent to the member that probably
  /// caches its prefix. If every daemon always chose that member, it would
  /// receive all requests with the prefix that arrive before the next report.
  /// The probability limits their number to the free slots of the member.
  double FollowProbability(std::size_t group, std::size_t member) {
    const CandidateStage stage = this->MakeStage(group, member, 0);
    const GroupLoad& load = this->LoadOf(group);
    const double arrivals = load.Arrivals(load.total_streams);
    const double capacity = stage.engine->slots / stage.time_factor;
    // Requests with other prefixes also occupy slots of the member: it receives
    // its share of all arrivals.
    const double free_slots =
        (kBusyLoad - stage.Load()) * capacity - load.shares[member] * arrivals;
    const double expected_requests =
        arrivals * std::max(this->prefix_frequency, 1e-6);
    return std::clamp(free_slots / expected_requests, 0.0, 1.0);
  }

  /// Mean duration of a stream in the group: the measured one, if it was set,
  /// else a prediction for full batches. `slots` is the sum over the members.
  Seconds StreamDuration(const EngineGroup& group, double slots) const {
    const Seconds predicted{std::max(this->query.expected_tokens, 1.0) * slots /
                            static_cast<double>(group.members.size()) /
                            group.TokensPerSecond()};
    return this->mean_stream_duration ? Seconds(*this->mean_stream_duration)
                                      : predicted;
  }

  /// Returns the load of a group, which is computed once per request.
  const GroupLoad& LoadOf(std::size_t group) {
    auto& load = this->group_loads[group];
    if (load) {
      return *load;
    }
    load.emplace();
    const EngineGroup& engines = this->plan.groups[group];
    std::vector<LoadEstimate::Snapshot> snapshots;
    snapshots.reserve(engines.members.size());
    double others = 0;
    double slots = 0;
    for (std::size_t i = 0; i < engines.members.size(); ++i) {
      const Backend& engine = this->Member(group, i);
      snapshots.push_back(this->loads.SnapshotOf(engine));
      others += snapshots.back().others;
      slots += std::max<std::uint32_t>(engine.slots, 1);
    }
    load->stream_duration = this->StreamDuration(engines, slots);
    const LoadEstimate::Drift drift{others / slots, load->stream_duration};
    std::vector<double> capacities;
    capacities.reserve(snapshots.size());
    load->streams.reserve(snapshots.size());
    for (std::size_t i = 0; i < snapshots.size(); ++i) {
      const Backend& engine = this->Member(group, i);
      load->streams.push_back(
          LoadEstimate::TotalStreams(engine, snapshots[i], drift, this->now));
      load->total_streams += load->streams.back();
      capacities.push_back(std::max<std::uint32_t>(engine.slots, 1) /
                           this->time_factor_of(engine.name));
    }
    load->shares = SharesOfArrivals(load->streams, capacities,
                                    load->Arrivals(load->total_streams));
    return *load;
  }

  /// Probabilities of the hops that leave a node: the planned flow, shifted
  /// towards groups that have fewer streams than planned. Computed once per
  /// request.
  const std::vector<double>& HopShares(std::size_t node) {
    auto& shares = this->hop_shares[node];
    if (!shares.empty()) {
      return shares;
    }
    const auto& hops = this->plan_state.HopsOf(node);
    std::vector<double> streams;
    std::vector<double> inflows;
    double total = 0;
    double inflow = 0;
    for (const auto& hop : hops) {
      const GroupLoad& load = this->LoadOf(hop.group);
      streams.push_back(load.total_streams);
      inflows.push_back(this->plan_state.inflows[hop.group]);
      total += load.total_streams;
      inflow += inflows.back();
    }
    const auto balanced_shares = SharesOfArrivals(
        streams, inflows, this->LoadOf(hops.front().group).Arrivals(total));
    double sum = 0;
    for (std::size_t i = 0; i < hops.size(); ++i) {
      const double share_factor = balanced_shares[i] / (inflows[i] / inflow);
      shares.push_back(
          hops[i].tokens_per_second *
          std::clamp(share_factor, 1 / kMaxShareFactor, kMaxShareFactor));
      sum += shares.back();
    }
    for (auto& share : shares) {
      share /= sum;
    }
    return shares;
  }

  std::size_t DrawIndex(std::span<const double> shares) {
    std::discrete_distribution<std::size_t> distribution(shares.begin(),
                                                         shares.end());
    return distribution(this->generator);
  }

  std::size_t ChooseHop(std::size_t node, SamplingMode mode) {
    const auto& shares = this->HopShares(node);
    if (mode == SamplingMode::kRoundRobin) {
      return this->plan_state.hops[node].Next(shares);
    }
    if (mode == SamplingMode::kRandom) {
      return this->DrawIndex(shares);
    }
    std::vector<double> adjusted = shares;
    for (std::size_t i = 0; i < adjusted.size(); ++i) {
      const std::size_t group = this->plan_state.HopsOf(node)[i].group;
      const auto [holder, hit_probability] = this->FindLikeliestHolder(group);
      if (hit_probability > 0) {
        adjusted[i] *= 1 + kPrefixShareGain * hit_probability *
                               this->FollowProbability(group, holder);
      }
    }
    return this->DrawIndex(adjusted);
  }

  std::size_t ChooseMember(std::size_t group, SamplingMode mode) {
    const auto& shares = this->LoadOf(group).shares;
    if (mode == SamplingMode::kRoundRobin) {
      return this->plan_state.members[group].Next(shares);
    }
    return this->DrawIndex(shares);
  }

  /// Returns the member to use for its cached prefix instead of the sampled
  /// one, if there is one.
  std::optional<std::size_t> ChoosePrefixHolder(std::size_t group,
                                                std::size_t sampled) {
    const auto [holder, hit_probability] = this->FindLikeliestHolder(group);
    std::uniform_real_distribution<double> chance(0, 1);
    if (hit_probability > 0 &&
        chance(this->generator) < this->FollowProbability(group, holder) &&
        this->MakeStage(group, holder, 0).PrefixAdjustedLoad() <=
            this->MakeStage(group, sampled, 0).PrefixAdjustedLoad()) {
      return holder;
    }
    return std::nullopt;
  }

  CandidateStage MakeStage(std::size_t group, std::size_t member,
                           std::uint32_t layer) {
    CandidateStage stage;
    stage.engine = &this->Member(group, member);
    stage.group = &this->plan.groups[group];
    stage.first_layer = layer;
    stage.streams = this->LoadOf(group).streams[member];
    stage.time_factor = this->time_factor_of(stage.engine->name);
    stage.hit_probability = this->HitProbability(*stage.engine);
    return stage;
  }

  Seconds LinkTime(const CandidateChain& candidate, std::size_t from) const {
    const std::size_t to = (from + 1) % candidate.stages.size();
    const Link link =
        this->links.Between(candidate.stages[from].group->location(),
                            candidate.stages[to].group->location());
    Seconds time = link.latency;
    // The link from the last stage to the first carries only a token, whose
    // transfer time is negligible. The other links carry an activation.
    if (to != 0 && link.bytes_per_second > 0) {
      const double bytes =
          static_cast<double>(this->query.model->activation_bytes);
      time += Seconds(bytes / link.bytes_per_second);
    }
    return time;
  }

  /// Fills in the predictions of a candidate. The inter-token latency is the
  /// greater of the latency of an idle chain and the longest round of one of
  /// its engines (asymptotic bounds of closed queueing networks, Denning and
  /// Buzen 1978). This is a lower bound: a prediction that is too high would
  /// refuse deadlines that could be met, and a refused request produces no
  /// observation that corrects the prediction.
  void Predict(CandidateChain& candidate) const {
    double wait_in_streams = 0;  // Queueing delay in stream durations.
    Seconds max_round_time{};
    for (std::size_t i = 0; i < candidate.stages.size(); ++i) {
      const CandidateStage& stage = candidate.stages[i];
      candidate.inter_token_latency += stage.StepTime();
      max_round_time = std::max(max_round_time, stage.RoundTime());
      if (candidate.stages.size() > 1) {
        candidate.inter_token_latency += this->LinkTime(candidate, i);
      }
      candidate.time_to_first_token +=
          stage.PrefillTime(this->query.prompt_tokens);
      const double slots = std::max<std::uint32_t>(stage.engine->slots, 1);
      wait_in_streams =
          std::max(wait_in_streams, (stage.streams + 1 - slots) / slots);
      candidate.load = std::max(candidate.load, stage.Load());
      candidate.hit_probability +=
          stage.hit_probability / static_cast<double>(candidate.stages.size());
    }
    candidate.inter_token_latency =
        std::max(candidate.inter_token_latency, max_round_time);
    // A queued stream starts after a running stream has ended.
    candidate.time_to_first_token +=
        candidate.inter_token_latency *
        (1 + wait_in_streams * std::max(this->query.expected_tokens, 1.0));
  }

  std::mt19937_64& generator;
  const LoadEstimate& loads;
  const LinkMap& links;
  PlanState& plan_state;
  const PipelinePlan& plan;
  const BackendsView& backends;
  const ChainQuery& query;
  std::optional<Duration> mean_stream_duration;
  double prefix_frequency;  ///< Fraction of requests with the query's prefix.
  TimeFactorOf time_factor_of;
  TimePoint now;
  std::vector<std::optional<GroupLoad>> group_loads;
  std::vector<std::vector<double>> hop_shares;
};

/// Whether the randomly sampled chain `other` is predicted to be faster and has
/// no busy engine.
bool IsFaster(const CandidateChain& other, const CandidateChain& round_robin,
              double tokens) {
  return other.load < kBusyLoad &&
         other.TotalTime(tokens) < round_robin.TotalTime(tokens);
}

/// Whether a chain chosen for its cached prefixes is better than `best`: it has
/// the higher hit probability, and it is either not more loaded, or faster
/// without a busy engine.
bool IsPrefixChainBetter(const CandidateChain& cached,
                         const CandidateChain& best, double tokens) {
  if (!cached.follows_prefix ||
      cached.hit_probability <= best.hit_probability) {
    return false;
  }
  return cached.load <= best.load ||
         (cached.load < kBusyLoad &&
          cached.TotalTime(tokens) < best.TotalTime(tokens));
}

Chain ToChain(const CandidateChain& candidate) {
  Chain chain;
  for (const auto& stage : candidate.stages) {
    chain.stages.push_back(
        {stage.engine->name, stage.engine->address, stage.first_layer,
         stage.group->last_layer,
         std::chrono::duration_cast<Duration>(stage.StepTime())});
  }
  chain.predicted_time_to_first_token =
      std::chrono::duration_cast<Duration>(candidate.time_to_first_token);
  chain.predicted_inter_token_latency =
      std::chrono::duration_cast<Duration>(candidate.inter_token_latency);
  return chain;
}

}  // namespace

PlanState& ChainRouter::State::PlanFor(const BackendsView& backends,
                                       const ChainQuery& query) {
  std::vector<std::size_t> usable;
  std::uint64_t key = Hash64(query.model->name, query.model->layers);
  key = MixHash(key, query.model->activation_bytes);
  key = MixHash(key, query.inter_token_latency.count());
  for (const auto& kind : query.kinds) {
    key = MixHash(MixHash(key, Hash64(kind.name)),
                  std::hash<double>{}(kind.layer_tokens_per_second));
  }
  for (std::size_t i = 0; i < backends.backends.size(); ++i) {
    const Backend& backend = backends.backends[i];
    if (IsUsable(backend, query)) {
      usable.push_back(i);
      const auto range =
          (std::uint64_t{backend.first_layer} << 32U) | backend.last_layer;
      key = MixHash(MixHash(MixHash(key, i), Hash64(backend.name)), range);
      key =
          MixHash(key, Hash64(backend.availability_zone, Hash64(backend.kind)));
    }
  }
  const auto found = this->plans.find(key);
  if (found != this->plans.end()) {
    return found->second;
  }
  if (this->plans.size() >= kMaxPlans) {
    this->plans.clear();
  }
  PlanState plan_state(PlanPipeline(backends.backends, usable,
                                    {*query.model, query.kinds, this->links,
                                     query.inter_token_latency}),
                       this->generator);
  return this->plans.emplace(key, std::move(plan_state)).first->second;
}

ChainRouter::ChainRouter(std::uint64_t seed)
    : state(std::make_unique<State>()) {
  this->state->generator.seed(seed);
}

ChainRouter::~ChainRouter() = default;

std::optional<Chain> ChainRouter::Choose(const BackendsView& backends,
                                         const ChainQuery& query,
                                         TimePoint now) {
  this->state->last_choice_at = now;
  if (query.model == nullptr || query.model->layers == 0) {
    return std::nullopt;
  }
  PlanState& plan_state = this->state->PlanFor(backends, query);
  if (plan_state.plan.entries.empty()) {
    return std::nullopt;
  }
  const auto time_factor_of = [&](std::string_view engine) {
    return this->state->TimeFactor(engine, now);
  };
  const bool use_prefix = query.prefixes != nullptr && query.prefix_hash != 0;
  const double prefix_frequency =
      use_prefix
          ? this->state->prefix_frequencies.Record(query.prefix_hash, now)
          : 0;
  ChainSampler sampler(this->state->generator, this->state->loads,
                       this->state->links, plan_state, backends, query,
                       this->state->mean_stream_duration, prefix_frequency,
                       time_factor_of, now);
  CandidateChain best = sampler.Sample(SamplingMode::kRoundRobin);
  CandidateChain other = sampler.Sample(SamplingMode::kRandom);
  if (IsFaster(other, best, query.expected_tokens)) {
    best = std::move(other);
  }
  if (use_prefix) {
    CandidateChain cached = sampler.Sample(SamplingMode::kPrefixAffinity);
    if (IsPrefixChainBetter(cached, best, query.expected_tokens)) {
      best = std::move(cached);
    }
  }
  sampler.Commit(best);
  return ToChain(best);
}

void ChainRouter::SetMeanStreamDuration(Duration mean) {
  if (mean > Duration::zero()) {
    this->state->mean_stream_duration = mean;
  }
}

void ChainRouter::OnStarted(const Chain& chain, TimePoint now) {
  for (const auto& stage : chain.stages) {
    this->state->loads.OnStarted(stage.engine, now);
    auto& correction = this->state->corrections[stage.engine];
    correction.predicted_step_time = stage.predicted_step_time;
  }
}

void ChainRouter::OnFinished(const Chain& chain, TimePoint now) {
  for (const auto& stage : chain.stages) {
    this->state->loads.OnFinished(stage.engine, now);
  }
}

void ChainRouter::OnObserved(std::string_view engine, Duration step_time) {
  const auto found = this->state->corrections.find(engine);
  if (found == this->state->corrections.end() ||
      step_time <= Duration::zero() ||
      found->second.predicted_step_time <= Seconds::zero()) {
    return;
  }
  const double deviation =
      Seconds(step_time) / found->second.predicted_step_time;
  found->second.Add(std::log(deviation), this->state->last_choice_at);
}

void ChainRouter::OnObserved(const Chain& chain, Duration inter_token_latency) {
  if (inter_token_latency <= Duration::zero() ||
      chain.predicted_inter_token_latency <= Duration::zero()) {
    return;
  }
  const double deviation = Seconds(inter_token_latency) /
                           Seconds(chain.predicted_inter_token_latency);
  Duration total_step_time{};
  for (const auto& stage : chain.stages) {
    total_step_time += stage.predicted_step_time;
  }
  for (const auto& stage : chain.stages) {
    const double part = Seconds(stage.predicted_step_time) /
                        Seconds(std::max(total_step_time, Duration(1)));
    this->state->corrections[stage.engine].Add(part * std::log(deviation),
                                               this->state->last_choice_at);
  }
}

void ChainRouter::SetLinks(const LinkMap& links) {
  this->state->links = links;
  this->state->plans.clear();
}

}  // namespace qp::policy
