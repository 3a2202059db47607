#include "cluster/cluster_controller.h"

#include <algorithm>
#include <caf/all.hpp>
#include <mutex>
#include <stdexcept>
#include <utility>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(std::shared_ptr<qp::ClusterController::Call>)

namespace qp {

namespace {

using TickAtom = caf::atom_constant<caf::atom("qp_tick")>;
using RunAtom = caf::atom_constant<caf::atom("qp_run")>;

/// Minimum interval between publications of the members if only their
/// heartbeats have changed, since heartbeats change with every digest. Other
/// changes are published at once.
constexpr Duration kMembersPublishInterval = std::chrono::seconds(1);

bool IsSameMember(const Member& left, const Member& right) {
  return left.node == right.node && left.incarnation == right.incarnation &&
         left.state == right.state &&
         left.configuration_version == right.configuration_version;
}

bool AreSameMembers(const MembersView& left, const MembersView& right) {
  return std::equal(left.members.begin(), left.members.end(),
                    right.members.begin(), right.members.end(), IsSameMember);
}

bool IsSameShare(const ClassShare& left, const ClassShare& right) {
  return left.requests_per_second == right.requests_per_second &&
         left.tokens_per_second == right.tokens_per_second;
}

bool AreSameBudgets(const BudgetsView& left, const BudgetsView& right) {
  return left.generation == right.generation &&
         std::equal(left.shares.begin(), left.shares.end(),
                    right.shares.begin(), right.shares.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first &&
                             IsSameShare(one.second, other.second);
                    });
}

}  // namespace

/// State owned jointly with the actor, which can outlive the controller. Once
/// `stopped` is set, the actor no longer uses it.
struct ClusterController::Shared {
  Shared(const Clock& time, Blackboard& blackboard, NodeIdentity identity,
         std::vector<std::string> seeds, PeerLink& link, Timeline* timeline,
         EventSink& events, std::uint64_t random_seed, Call tick_call)
      : clock(time),
        members(blackboard.members.Claim()),
        budgets(blackboard.budgets.Claim()),
        node(std::move(identity), std::move(seeds), link, timeline, events,
             random_seed),
        after_tick(std::move(tick_call)) {
    if (!this->members || !this->budgets) {
      throw std::logic_error(
          "the blackboard entry for members or budgets already has a writer");
    }
  }

  /// Runs `call` unless the controller has been destroyed.
  void Run(const Call& call) {
    std::lock_guard lock(this->mutex);
    if (!this->stopped) {
      call(this->node, this->clock.Now());
    }
  }

  void Tick() {
    this->Run([this](ClusterNode& cluster, TimePoint now) {
      cluster.Tick(now);
      this->Publish(cluster, now);
      if (this->after_tick) {
        this->after_tick(cluster, now);
      }
    });
  }

  void Publish(const ClusterNode& cluster, TimePoint now) {
    MembersView next_members = cluster.Members(now);
    if (now >= this->next_members_publish ||
        !AreSameMembers(next_members, this->last_members)) {
      this->next_members_publish = now + kMembersPublishInterval;
      this->last_members = next_members;
      this->members->Publish(std::move(next_members));
    }
    BudgetsView next_budgets = cluster.Budgets(now);
    if (!AreSameBudgets(next_budgets, this->last_budgets)) {
      this->last_budgets = next_budgets;
      this->budgets->Publish(std::move(next_budgets));
    }
  }

  std::mutex mutex;
  bool stopped = false;
  const Clock& clock;
  std::unique_ptr<Writer<MembersView>> members;
  std::unique_ptr<Writer<BudgetsView>> budgets;
  ClusterNode node;
  Call after_tick;
  TimePoint next_members_publish{};
  MembersView last_members;
  BudgetsView last_budgets;
};

ClusterController::ClusterController(caf::actor_system& system,
                                     const Clock& clock, Blackboard& blackboard,
                                     NodeIdentity identity,
                                     std::vector<std::string> seeds,
                                     PeerLink& peer_link, Timeline* timeline,
                                     EventSink& events,
                                     std::uint64_t random_seed, Call after_tick)
    : link(peer_link),
      shared(std::make_shared<Shared>(
          clock, blackboard, std::move(identity), std::move(seeds), peer_link,
          timeline, events, random_seed, std::move(after_tick))) {
  this->actor = system.spawn(
      [shared = this->shared](caf::event_based_actor* self) -> caf::behavior {
        self->send(self, TickAtom::value);
        return {[self, shared](TickAtom) {
                  self->delayed_send(self, ClusterNode::kTickInterval,
                                     TickAtom::value);
                  shared->Tick();
                },
                [shared](RunAtom, const std::shared_ptr<Call>& call) {
                  shared->Run(*call);
                }};
      });
  this->link.SetReceiver([this](std::string_view message) {
    this->Post(
        [bytes = std::string(message)](ClusterNode& node, TimePoint now) {
          node.OnMessage(bytes, now);
        });
  });
}

ClusterController::~ClusterController() {
  this->link.SetReceiver({});
  {
    std::lock_guard lock(this->shared->mutex);
    this->shared->stopped = true;
  }
  caf::anon_send_exit(this->actor, caf::exit_reason::user_shutdown);
}

void ClusterController::Post(Call call) {
  caf::anon_send(this->actor, RunAtom::value,
                 std::make_shared<Call>(std::move(call)));
}

}  // namespace qp
