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

/// Unused rate that a class may keep; bounds the burst after a quiet time.
constexpr Seconds kBurstWindow{1.0};
/// A workspace that has not asked for this long takes no part in the sharing.
constexpr Seconds kActivityWindow{10.0};
/// A small bucket loses rate to the spacing of random arrivals; two requests
/// keep that loss below the 5% that a workspace may fall short.
constexpr double kMinBurstRequests = 2;
/// Time constant of the counts of admitted and refused requests.
constexpr Seconds kDemandTimeConstant{3.0};
constexpr Seconds kMinRetryAfter{0.5};
constexpr Seconds kMaxRetryAfter{30.0};
/// A class with fewer refusals of late than this asks for no more.
constexpr double kShortageThreshold = 0.5;
/// Credits are given out at most this often; the cost grows with workspaces.
constexpr Seconds kRefillInterval{0.01};
constexpr std::size_t kDimensions = 2;

/// Requests and tokens, in that order.
using Amounts = std::array<double, kDimensions>;

struct WorkspaceState {
  Amounts level{};
  TimePoint last_request_at{};
};

/// A count that decays exponentially.
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

/// Buckets of one class. Every unit of rate is credited once: to the active
/// workspaces in equal parts, what full buckets leave to the others, and what
/// all leave to `spare`, from which any workspace may take.
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

  /// Credits the rate since the last call; returns what no bucket holds.
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

  /// Whether the bucket and the spare amount cover `cost`. A cost above the
  /// cap is taken from a full bucket and leaves it in debt.
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

  void Charge(WorkspaceState& workspace, const Amounts& cost) {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      const double from_level = std::clamp(workspace.level[d], 0.0, cost[d]);
      const double from_spare = std::min(cost[d] - from_level, this->spare[d]);
      this->spare[d] -= from_spare;
      workspace.level[d] -= cost[d] - from_spare;
      this->total_level[d] -= cost[d] - from_spare;
    }
  }

  /// Returns tokens that were charged, or charges more if negative.
  void Refund(std::string_view name, double tokens) {
    const auto found = this->workspaces.find(name);
    if (found == this->workspaces.end()) {
      this->ReturnToClass(1, tokens);
    } else {
      found->second.level[1] += tokens;
      this->total_level[1] += tokens;
    }
  }

  /// Takes what other classes leave unused.
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

  bool HasShare() const {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (this->limited[d] && this->rate[d] <= 0) {
        return false;
      }
    }
    return this->limited[0] || this->limited[1];
  }

  /// Whether other workspaces hold enough for `cost`.
  bool ClassCovers(const Amounts& cost) const {
    for (std::size_t d = 0; d < kDimensions; ++d) {
      if (this->limited[d] && this->spare[d] + this->total_level[d] < cost[d]) {
        return false;
      }
    }
    return true;
  }

  /// Time until the bucket covers `cost` at the workspace's fair rate.
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

  /// Size of `cost` in average requests of the class, by whichever limit it
  /// uses most of.
  double AverageRequests(const Amounts& cost) const {
    const double unit = this->target[0] > 0 && this->target[1] > 0
                            ? this->target[1] / this->target[0]
                            : 0;
    return unit > 0 ? std::max(cost[0], cost[1] / unit) : cost[0];
  }

  std::string pool;
  DecayingCount refusals;
  DecayingCount admissions;
  bool configured = false;
  double shortage_elsewhere = 0;  ///< Requests a second.

 private:
  static constexpr double kRoundingTolerance = 1e-9;

  double WorkspaceCount() const {
    return std::max<double>(this->workspaces.size(), 1);
  }

  /// Average size of a request of the class in dimension `d`.
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

  /// Gives a newcomer one request ahead of the next credits, so that it does
  /// not start behind those already here. Bounded, so that many newcomers do
  /// not take the credits of a long time.
  void GrantInitialCredit(WorkspaceState& workspace, std::size_t d) {
    const double wanted = std::max(this->UnitRequest(d) - this->spare[d], 0.0);
    const double credit =
        std::clamp(this->ClassCap(d) - this->debt[d], 0.0, wanted);
    workspace.level[d] = credit;
    this->total_level[d] += credit;
    this->debt[d] += credit;
  }

  /// Returns what idle workspaces hold, positive or negative, to the class.
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

  void ReturnToClass(std::size_t d, double level) {
    this->debt[d] += std::max(-level, 0.0);
    this->spare[d] =
        std::min(this->spare[d] + std::max(level, 0.0), this->ClassCap(d));
  }

  /// Max-min distribution of `amount`: equal parts up to each bucket's cap.
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
    // The fullest first, so that each remaining part only grows.
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

  Amounts target{};  ///< Of the class over all daemons.
  Amounts rate{};
  std::array<bool, kDimensions> limited{};
  Amounts spare{};
  Amounts total_level{};  ///< Sum of the workspaces' levels.
  /// Amounts lent to newcomers; repaid before anything is distributed.
  Amounts debt{};
  bool started = false;
  TimePoint refilled_at{};
  std::map<std::string, WorkspaceState, std::less<>> workspaces;
};

/// Whether the predicted answer ends after the deadline.
bool MissesDeadline(const AdmissionRequest& request) {
  const Seconds predicted = Seconds(request.predicted_first_token) +
                            Seconds(request.predicted_inter_token_latency) *
                                std::max(request.expected_tokens - 1, 0.0);
  return request.deadline > Duration::zero() &&
         predicted > Seconds(request.deadline);
}

}  // namespace

struct Admission::State {
  std::mt19937_64 generator;
  std::map<std::string, ClassBuckets, std::less<>> classes;

  /// Credits the classes of a pool. What some leave unused goes in equal
  /// parts to those that ask for more; own credits always come first, so no
  /// class has surplus before the target of another is met.
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
  // The refused of the last seconds return over the time that the class needs
  // to serve them.
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

double Admission::Shortage(std::string_view class_name, TimePoint now) const {
  const auto found = this->state->classes.find(class_name);
  return found == this->state->classes.end()
             ? 0
             : found->second.refusals.ValueAt(now) /
                   kDemandTimeConstant.count();
}

}  // namespace qp::policy
