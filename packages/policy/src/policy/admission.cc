#include "policy/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace qp::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Unused rate is accumulated for at most this time. It bounds the burst that a
/// class can send after an idle period.
constexpr Seconds kBurstWindow{1.0};
/// A workspace without requests for this time is removed, so that it no longer
/// receives a part of the rate.
constexpr Seconds kActivityWindow{10.0};
/// Minimum capacity of a workspace's bucket, in average requests. A smaller
/// bucket is often full between random arrivals, and the credit that does not
/// fit is lost to the workspace. With a capacity of two requests, a workspace
/// loses less than 5% of its fair share, which is the loss that
/// admission_test.cc tolerates.
constexpr double kMinBurstRequests = 2;
/// Time constant with which the counts of admitted and refused requests decay.
constexpr Seconds kDemandTimeConstant{3.0};
/// Minimum and maximum of the delay suggested to refused callers. The same
/// limits apply to the jitter that is added to the delay.
constexpr Seconds kMinRetryAfter{0.5};
constexpr Seconds kMaxRetryAfter{30.0};
/// A class has a shortage while its decaying count of refusals is above this.
constexpr double kShortageThreshold = 0.5;
/// Minimum time between two distributions of credit, whose cost grows with the
/// number of workspaces.
constexpr Seconds kRefillInterval{0.01};
/// Number of quantities that a class limits: requests and tokens.
constexpr std::size_t kDimensions = 2;

/// Requests and tokens, in this order.
using Amounts = std::array<double, kDimensions>;

/// Token buckets of one workspace.
struct WorkspaceState {
  Amounts level{};  ///< Below 0 while the workspace is in debt.
  TimePoint last_request_at{};
};

/// Count that decays exponentially with kDemandTimeConstant.
struct DecayingCount {
  double count = 0;
  TimePoint counted_at{};

  double ValueAt(TimePoint now) const {
    const Seconds age = now - this->counted_at;
    return this->count * std::exp(-age / kDemandTimeConstant);
  }
  void Add(TimePoint now, double amount) {
    this->count = this->ValueAt(now) + amount;
    this->counted_at = now;
  }
};

}  // namespace

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kUnknownClass:
      return "unknown_class";
    case RefusalReason::kClassOverTarget:
      return "class_over_target";
    case RefusalReason::kWorkspaceOverShare:
      return "workspace_over_share";
    case RefusalReason::kDeadlineTooShort:
      return "deadline_too_short";
    case RefusalReason::kNoCapacity:
      return "no_capacity";
  }
  return "unknown";
}

namespace {

/// Token buckets of one class. Each unit of rate is credited once: active
/// workspaces receive equal parts, the excess of full buckets goes to the other
/// workspaces, and the excess of all of them goes to `spare`, which is
/// available to every workspace.
class ClassBuckets {
 public:
  void SetShare(const RequestClass& request_class, const ClassShare& share) {
    this->pool = request_class.model.empty()
                     ? "service:" + request_class.service
                     : "model:" + request_class.model;
    this->rate = {share.requests_per_second, share.tokens_per_second};
    this->target = {request_class.target.requests_per_second,
                    request_class.target.tokens_per_second};
    this->limited = {request_class.target.requests_per_second > 0,
                     request_class.target.tokens_per_second > 0};
    for (std::size_t d = 0; d < kDimensions; ++d) {
      this->spare[d] = std::min(this->spare[d], this->ClassCap(d));
    }
  }

  /// Credits the rate accrued since the last call and returns the amounts that
  /// exceed the capacity of all buckets. The first call fills `spare`.
  Amounts Refill(TimePoint now) {
    Amounts surplus{};
    if (!this->started) {
      this->started = true;
      this->refilled_at = now;
      for (std::size_t d = 0; d < kDimensions; ++d) {
        this->spare[d] = this->ClassCap(d);
      }
    }
    const Seconds elapsed = now - this->refilled_at;
    if (elapsed < kRefillInterval) {
      return surplus;
    }
    this->refilled_at = now;
    this->RetireIdle(now);
    for (std::size_t d = 0; d < kDimensions; ++d) {
      surplus[d] = this->Distribute(d, this->rate[d] * elapsed.count());
    }
    return surplus;
  }

  /// Finds or adds a workspace and marks it as active. A new workspace receives
  /// an initial credit.
  WorkspaceState& GetOrAddWorkspace(std::string_view name, TimePoint now) {
    auto found = this->workspaces.find(name);
    if (found == this->workspaces.end()) {
      found = this->workspaces.emplace(name, WorkspaceState{}).first;
      for (std::size_t d = 0; d < kDimensions; ++d) {
        this->GrantInitialCredit(found->second, d);
      }
    }
    found->second.last_request_at = now;
    return found->second;
  }

  /// Whether the workspace's bucket and `spare` cover `cost`. A cost above the
  /// bucket's capacity only needs that capacity; Charge then leaves the bucket
  /// in debt.
  bool Covers(const WorkspaceState& workspace, const Amounts& cost) const {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (this->limited[d] &&
          workspace.level[d] + this->spare[d] + kRoundingTolerance <
              std::min(cost[d], this->WorkspaceCap(d))) {
        return false;
      }
    }
    return true;
  }

  /// Charges the workspace's bucket first, then `spare`. The bucket goes into
  /// debt by the rest.
  void Charge(WorkspaceState& workspace, const Amounts& cost) {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      const double from_level = std::clamp(workspace.level[d], 0.0, cost[d]);
      const double from_spare = std::min(cost[d] - from_level, this->spare[d]);
      this->spare[d] -= from_spare;
      workspace.level[d] -= cost[d] - from_spare;
      this->total_level[d] -= cost[d] - from_spare;
    }
  }

  /// Returns charged tokens to the workspace; charges more if `tokens` is
  /// negative.
  void Refund(std::string_view name, double tokens) {
    const auto found = this->workspaces.find(name);
    if (found == this->workspaces.end()) {
      this->ReturnToClass(1, tokens);
    } else {
      found->second.level[1] += tokens;
      this->total_level[1] += tokens;
    }
  }

  /// Credits rate that other classes leave unused.
  void AddSurplus(const Amounts& surplus) {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (surplus[d] > 0) {
        this->Distribute(d, surplus[d]);
      }
    }
  }

  bool HasShortage(TimePoint now) const {
    return this->HasShare() && this->refusals.ValueAt(now) > kShortageThreshold;
  }

  /// Whether the class limits requests or tokens and this daemon has a rate
  /// above 0 for each quantity that the class limits.
  bool HasShare() const {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (this->limited[d] && this->rate[d] <= 0) {
        return false;
      }
    }
    return this->limited[0] || this->limited[1];
  }

  /// Whether `spare` and the levels of all workspaces together cover `cost`.
  bool ClassCovers(const Amounts& cost) const {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (this->limited[d] && this->spare[d] + this->total_level[d] < cost[d]) {
        return false;
      }
    }
    return true;
  }

  /// Time until Covers holds if the bucket is credited with the workspace's
  /// equal part of the rate.
  Seconds TimeUntilCovered(const WorkspaceState& workspace,
                           const Amounts& cost) const {
    Seconds wait{0};
    for (std::size_t d = 0; d < kDimensions; ++d) {
      const double missing = std::min(cost[d], this->WorkspaceCap(d)) -
                             workspace.level[d] - this->spare[d];
      if (this->limited[d] && this->rate[d] > 0 && missing > 0) {
        wait = std::max(
            wait, Seconds(missing * this->WorkspaceCount() / this->rate[d]));
      }
    }
    return wait;
  }

  double RequestRate() const { return this->rate[0]; }

  /// Size of `cost` in average requests of the class. If the class has targets
  /// for requests and for tokens, the larger of the two sizes counts.
  double AverageRequests(const Amounts& cost) const {
    const double unit = this->target[0] > 0 && this->target[1] > 0
                            ? this->target[1] / this->target[0]
                            : 0;
    return unit > 0 ? std::max(cost[0], cost[1] / unit) : cost[0];
  }

  std::string pool;  ///< Equal for classes of the same model or service.
  DecayingCount refusals;
  DecayingCount admissions;
  bool configured = false;
  double shortage_elsewhere = 0;  ///< Requests per second.

 private:
  static constexpr double kRoundingTolerance = 1e-9;

  double WorkspaceCount() const {
    return std::max<double>(this->workspaces.size(), 1);
  }

  /// Size of an average request of the class in dimension `d`.
  double UnitRequest(std::size_t d) const {
    if (d == 0) {
      return 1;
    }
    return this->rate[0] > 0 ? this->rate[d] / this->rate[0] : 0;
  }

  double ClassCap(std::size_t d) const {
    return std::max(this->rate[d] * kBurstWindow.count(), this->UnitRequest(d));
  }

  double WorkspaceCap(std::size_t d) const {
    return std::max(
        this->rate[d] * kBurstWindow.count() / this->WorkspaceCount(),
        kMinBurstRequests * this->UnitRequest(d));
  }

  /// Advances the credit for one request to a new workspace, so that its first
  /// request need not wait for a refill. Advances are added to `debt`,
  /// which the class repays before it distributes credit. They are limited so
  /// that `debt` does not grow above ClassCap; otherwise, many new workspaces
  /// would leave all workspaces without credit until the debt is repaid.
  void GrantInitialCredit(WorkspaceState& workspace, std::size_t d) {
    const double wanted = std::max(this->UnitRequest(d) - this->spare[d], 0.0);
    const double credit =
        std::clamp(this->ClassCap(d) - this->debt[d], 0.0, wanted);
    workspace.level[d] = credit;
    this->total_level[d] += credit;
    this->debt[d] += credit;
  }

  /// Removes idle workspaces and returns their levels, positive or negative, to
  /// the class.
  void RetireIdle(TimePoint now) {
    for (auto it = this->workspaces.begin(); it != this->workspaces.end();) {
      if (now - it->second.last_request_at < kActivityWindow) {
        ++it;
        continue;
      }
      for (std::size_t d = 0; d < kDimensions; ++d) {
        const double level = it->second.level[d];
        this->debt[d] += std::max(-level, 0.0);
        this->spare[d] =
            std::min(this->spare[d] + std::max(level, 0.0), this->ClassCap(d));
      }
      it = this->workspaces.erase(it);
    }
  }

  /// Adds a positive level to `spare`, a negative one to `debt`.
  void ReturnToClass(std::size_t d, double level) {
    this->debt[d] += std::max(-level, 0.0);
    this->spare[d] =
        std::min(this->spare[d] + std::max(level, 0.0), this->ClassCap(d));
  }

  /// Repays `debt`, then distributes the rest of `amount` by max-min fairness:
  /// equal parts up to the capacity of each bucket. Returns the amount that
  /// exceeds the capacity of all buckets.
  double Distribute(std::size_t d, double amount) {
    const double repaid = std::min(this->debt[d], amount);
    this->debt[d] -= repaid;
    amount -= repaid;

    std::vector<double*> levels;
    levels.reserve(this->workspaces.size());
    for (auto& [name, workspace] : this->workspaces) {
      levels.push_back(&workspace.level[d]);
    }
    const double cap = this->WorkspaceCap(d);
    // The fullest buckets come first: they leave part of their credit to the
    // buckets after them, whose equal part can only grow.
    std::sort(levels.begin(), levels.end(),
              [](const double* a, const double* b) { return *a > *b; });
    for (std::size_t i = 0; i < levels.size(); ++i) {
      const double part = amount / static_cast<double>(levels.size() - i);
      const double credited = std::clamp(cap - *levels[i], 0.0, part);
      *levels[i] += credited;
      this->total_level[d] += credited;
      amount -= credited;
    }
    const double spare_capacity =
        std::max(this->ClassCap(d) - this->spare[d], 0.0);
    const double stored = std::min(spare_capacity, amount);
    this->spare[d] += stored;
    return amount - stored;
  }

  Amounts target{};  ///< Target rate over all daemons, per second.
  Amounts rate{};    ///< This daemon's share of the target, per second.
  std::array<bool, kDimensions> limited{};
  Amounts spare{};  ///< Credit available to every workspace.
  /// Sum of the workspaces' levels. RetireIdle does not subtract the levels of
  /// the workspaces that it removes.
  Amounts total_level{};
  /// Credit advanced to new workspaces plus the debt of removed ones. The class
  /// repays it from its rate before it distributes credit.
  Amounts debt{};
  bool started = false;
  TimePoint refilled_at{};
  std::map<std::string, WorkspaceState, std::less<>> workspaces;
};

/// Whether the predicted response ends after the deadline.
bool MissesDeadline(const AdmissionRequest& request) {
  const Seconds predicted = Seconds(request.predicted_time_to_first_token) +
                            Seconds(request.predicted_inter_token_latency) *
                                std::max(request.expected_tokens - 1, 0.0);
  return request.deadline > Duration::zero() &&
         predicted > Seconds(request.deadline);
}

}  // namespace

struct Admission::State {
  std::mt19937_64 generator;
  std::map<std::string, ClassBuckets, std::less<>> classes;

  /// Credits the classes of a pool. Rate that some classes leave unused goes in
  /// equal parts to those with a shortage. Each class is credited with its own
  /// rate first, so no class receives surplus before the other classes have
  /// their own shares.
  void Refill(std::string_view pool, TimePoint now) {
    Amounts surplus{};
    std::vector<ClassBuckets*> classes_with_shortage;
    for (auto& [name, buckets] : this->classes) {
      if (buckets.pool != pool) {
        continue;
      }
      const Amounts unused = buckets.Refill(now);
      for (std::size_t d = 0; d < kDimensions; ++d) {
        surplus[d] += buckets.shortage_elsewhere > 0 ? 0 : unused[d];
      }
      if (buckets.HasShortage(now)) {
        classes_with_shortage.push_back(&buckets);
      }
    }
    for (auto& amount : surplus) {
      amount /= std::max<double>(classes_with_shortage.size(), 1);
    }
    for (auto* buckets : classes_with_shortage) {
      buckets->AddSurplus(surplus);
    }
  }

  /// Random delay from `min` to `min + range`.
  Duration JitteredDelay(Seconds min, Seconds range) {
    std::uniform_real_distribution<double> draw(0, 1);
    const Seconds wait = min + range * draw(this->generator);
    return std::chrono::duration_cast<Duration>(wait);
  }
};

Admission::Admission(std::uint64_t seed) : state(std::make_unique<State>()) {
  this->state->generator.seed(seed);
}

Admission::~Admission() = default;

void Admission::Update(const Configuration& configuration,
                       const BudgetsView& budgets, TimePoint now) {
  auto& classes = this->state->classes;
  for (auto& [name, buckets] : classes) {
    buckets.Refill(now);
    buckets.configured = false;
  }
  for (const auto& request_class : configuration.classes) {
    const auto share = budgets.shares.find(request_class.name);
    auto& buckets = classes[request_class.name];
    buckets.configured = true;
    buckets.SetShare(request_class, share == budgets.shares.end()
                                        ? ClassShare{}
                                        : share->second);
  }
  std::erase_if(classes,
                [](const auto& item) { return !item.second.configured; });
}

AdmissionDecision Admission::Decide(const AdmissionRequest& request,
                                    TimePoint now) {
  const auto found = this->state->classes.find(request.class_name);
  if (found == this->state->classes.end()) {
    return {RefusalReason::kUnknownClass, {}};
  }
  auto& buckets = found->second;
  this->state->Refill(buckets.pool, now);
  if (MissesDeadline(request)) {
    return {RefusalReason::kDeadlineTooShort,
            this->state->JitteredDelay(kMinRetryAfter, kMinRetryAfter)};
  }
  const Amounts cost{1, request.expected_tokens};
  if (!buckets.HasShare()) {
    buckets.refusals.Add(now, buckets.AverageRequests(cost));
    return {RefusalReason::kClassOverTarget,
            this->state->JitteredDelay(kMinRetryAfter, kMinRetryAfter)};
  }
  auto& workspace = buckets.GetOrAddWorkspace(request.workspace, now);
  if (buckets.Covers(workspace, cost)) {
    buckets.Charge(workspace, cost);
    buckets.admissions.Add(now, buckets.AverageRequests(cost));
    return {};
  }
  buckets.refusals.Add(now, buckets.AverageRequests(cost));
  const auto reason = buckets.ClassCovers(cost)
                          ? RefusalReason::kWorkspaceOverShare
                          : RefusalReason::kClassOverTarget;
  const Seconds min_wait = std::clamp(buckets.TimeUntilCovered(workspace, cost),
                                      kMinRetryAfter, kMaxRetryAfter);
  // The jitter spreads the retries of recently refused requests over the time
  // that the class needs to serve them.
  const Seconds backlog{buckets.refusals.ValueAt(now) /
                        std::max(buckets.RequestRate(), 1e-3)};
  return {reason, this->state->JitteredDelay(
                      min_wait, std::clamp(backlog, min_wait, kMaxRetryAfter))};
}

void Admission::RecordActualTokens(std::string_view class_name,
                                   std::string_view workspace,
                                   double expected_tokens,
                                   double actual_tokens) {
  const auto found = this->state->classes.find(class_name);
  if (found == this->state->classes.end()) {
    return;
  }
  found->second.Refund(workspace, expected_tokens - actual_tokens);
}

void Admission::SetShortageElsewhere(std::string_view class_name,
                                     double requests_per_second) {
  const auto found = this->state->classes.find(class_name);
  if (found != this->state->classes.end()) {
    found->second.shortage_elsewhere = requests_per_second;
  }
}

double Admission::AdmittedRate(std::string_view class_name,
                               TimePoint now) const {
  const auto found = this->state->classes.find(class_name);
  return found == this->state->classes.end()
             ? 0
             : found->second.admissions.ValueAt(now) /
                   kDemandTimeConstant.count();
}

double Admission::ShortageRate(std::string_view class_name,
                               TimePoint now) const {
  const auto found = this->state->classes.find(class_name);
  return found == this->state->classes.end()
             ? 0
             : found->second.refusals.ValueAt(now) /
                   kDemandTimeConstant.count();
}

}  // namespace qp::policy
