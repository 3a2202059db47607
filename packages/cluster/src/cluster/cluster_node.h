#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "blackboard/views.h"
#include "cluster/class_demand.h"
#include "cluster/identity.h"
#include "cluster/observation.h"
#include "cluster/peer_link.h"
#include "config/configuration.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "foundation/timeline.h"
#include "policy/budget_ledger.h"

namespace qp {

/// Counts since the node was created.
struct ClusterCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t malformed = 0;     ///< Messages that did not decode.
  std::uint64_t unknown_kind = 0;  ///< Messages of a kind not known here.
};

/// The communication of one daemon with its peers: membership, spread of the
/// configuration and of observations, exchange of class budgets. Used on one
/// thread; time is passed in and must not go backwards.
class ClusterNode {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

  /// `seeds` are peer addresses to contact first. `timeline` may be null;
  /// messages then carry no causal stamps. The references must outlive this.
  ClusterNode(NodeIdentity identity, std::vector<std::string> seeds,
              PeerLink& link, Timeline* timeline, EventSink& events,
              std::uint64_t random_seed);
  ~ClusterNode();
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  /// Sends what is due. Called every kTickInterval.
  void Tick(TimePoint now);

  /// Takes in a message of a peer. Malformed ones are counted and dropped.
  void OnMessage(std::string_view message, TimePoint now);

  /// Entry VMs of the platform's list, without leaving ones.
  void SetContacts(std::vector<Contact> contacts);

  // Configuration.

  /// Applies `configuration`, read from the table or just accepted, if its
  /// version is higher than the current one. True if it was applied.
  bool OfferConfiguration(Configuration configuration, TimePoint now);

  /// Called with each configuration that is applied, before it is announced
  /// or acknowledged to anyone; at once if there is one already.
  using ConfigurationListener =
      std::function<void(const std::shared_ptr<const Configuration>&)>;
  void SetConfigurationListener(ConfigurationListener listener);

  /// Null if none is known yet. Replaced, never modified.
  std::shared_ptr<const Configuration> CurrentConfiguration() const;

  /// Reports a read of the configuration and of the budget generation from
  /// the table that began at `read_began`. Their contents must have been
  /// offered before with OfferConfiguration and SetBudgetGeneration.
  void RecordTableRead(TimePoint read_began);

  /// Last time the table or more than half of the members confirmed that
  /// this daemon is up to date. Empty if never.
  std::optional<TimePoint> ConfirmedAt() const;

  /// Whether that is no longer than 9 s ago.
  bool IsConfirmed(TimePoint now) const;

  /// Whether each known or configured peer has answered or has been silent
  /// for 2 s, and no answer named a version that is not applied here. Then a
  /// daemon that starts while the table is out may serve
  /// CurrentConfiguration(), if there is one.
  bool HasSyncedWithPeers(TimePoint now) const;

  /// Members that have not acknowledged `version`, ordered by name. Contains
  /// suspects; a member that is gone for more than 9 s can't be confirmed
  /// with an older version and is left out.
  std::vector<std::string> PendingMembers(std::uint64_t version,
                                          TimePoint now) const;

  // Observations of backend servers.

  /// Spreads what this daemon saw. `observed_at` is local time.
  void PublishObservation(Observation observation, TimePoint now);

  /// Newest observation of each backend server, ordered by name.
  std::vector<Observation> Observations(TimePoint now) const;

  /// Whether this daemon is one of the two that observe `backend`.
  bool ShouldObserve(std::string_view backend) const;

  // Budgets.

  /// Takes over a generation read from or written to the table. Lower numbers
  /// than the known one are ignored.
  void SetBudgetGeneration(policy::BudgetGeneration generation, TimePoint now);

  /// The generation to write to the table (on the condition that the stored
  /// number is one lower, or that there is none) if the members have changed;
  /// empty if there is nothing to write or it isn't yet safe.
  std::optional<policy::BudgetGeneration> ProposeGeneration(
      TimePoint now) const;

  /// Takes in the demand for a class at this daemon, repeated about every
  /// second. It moves shares from daemons with a surplus to those in need.
  void ReportDemand(std::string_view class_name, const ClassDemand& demand,
                    TimePoint now);

  /// Gives away all shares and tells the peers. Tick and OnMessage continue
  /// until HasLeft(), so that lost grants are repeated.
  void Leave(TimePoint now);

  /// Whether all shares given away by Leave are acknowledged, or 2 s passed.
  bool HasLeft(TimePoint now) const;

  MembersView Members(TimePoint now) const;

  /// Usable shares: empty unless confirmed. A class is held to the lower of
  /// its old and new rate until the members agree on the new configuration
  /// (about 10 s); a daemon that has just started knows no old rate and uses
  /// no share until then, except in the first generation.
  BudgetsView Budgets(TimePoint now) const;

  const ClusterCounters& counters() const;

  /// Estimate of the bytes of state: sizes of records plus their heap blocks.
  std::size_t EstimateStateBytes() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp
