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
  std::uint64_t malformed = 0;     ///< Messages that could not be decoded.
  std::uint64_t unknown_kind = 0;  ///< Messages of an unknown kind.
};

/// Communication of one daemon with its peers: membership, gossip of the
/// configuration and of observations, and exchange of class budgets. Not
/// thread-safe. Callers pass the time, which must not go backwards.
class ClusterNode {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

  /// `seeds` are the peer addresses to contact first. If `timeline` is null,
  /// messages carry no causal timestamps. `link`, `timeline` and `events` must
  /// outlive the node.
  ClusterNode(NodeIdentity identity, std::vector<std::string> seeds,
              PeerLink& link, Timeline* timeline, EventSink& events,
              std::uint64_t random_seed);
  ~ClusterNode();
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  /// Runs the periodic work that is due and sends its messages. Must be called
  /// every kTickInterval.
  void Tick(TimePoint now);

  /// Handles a message of a peer. Malformed messages and those of an unknown
  /// kind are counted, logged and dropped.
  void OnMessage(std::string_view message, TimePoint now);

  /// Replaces the contacts: the entry VMs of the platform's list that are not
  /// leaving.
  void SetContacts(std::vector<Contact> contacts);

  // Configuration.

  /// Applies `configuration`, which was read from the table or has just been
  /// accepted, if its version is higher than the current version. Returns
  /// whether it was applied.
  bool OfferConfiguration(Configuration configuration, TimePoint now);

  /// Called with each applied configuration before peers receive an
  /// announcement or acknowledgement of it. SetConfigurationListener calls it
  /// at once if a configuration has already been applied.
  using ConfigurationListener =
      std::function<void(const std::shared_ptr<const Configuration>&)>;
  void SetConfigurationListener(ConfigurationListener listener);

  /// Returns the applied configuration, or null if none is known yet. Each
  /// version is a new object; a returned configuration is never modified.
  std::shared_ptr<const Configuration> CurrentConfiguration() const;

  /// Records a successful read of the configuration and the budget generation
  /// from the table, which began at `read_began`. Callers must first pass the
  /// contents to OfferConfiguration and SetBudgetGeneration.
  void RecordTableRead(TimePoint read_began);

  /// Returns the last time at which the table or more than half of the members
  /// confirmed that this daemon is up to date. Empty if that never happened.
  std::optional<TimePoint> ConfirmedAt() const;

  /// Whether ConfirmedAt() is less than 9 s ago.
  bool IsConfirmed(TimePoint now) const;

  /// Whether each known or configured peer has responded or has been silent for
  /// 2 s, and no peer announced a configuration that is newer than the one
  /// applied here. A daemon that starts during a table outage is then allowed
  /// to serve CurrentConfiguration(), if there is one.
  bool HasSyncedWithPeers(TimePoint now) const;

  /// Returns the members that are not known to have `version` of the
  /// configuration, ordered by name. Includes suspects. Excludes members that
  /// have left, and those that are gone and were last heard at least 9 s ago,
  /// since such a member can no longer be confirmed with an older version.
  std::vector<std::string> MembersLackingVersion(std::uint64_t version,
                                                 TimePoint now) const;

  // Observations of backend servers.

  /// Distributes an observation of this daemon to the peers. Its `observed_at`
  /// is local time.
  void PublishObservation(Observation observation, TimePoint now);

  /// Returns the latest observation of each backend server, ordered by name.
  std::vector<Observation> Observations(TimePoint now) const;

  /// Whether this daemon is one of the two observers of `backend`.
  bool ShouldObserve(std::string_view backend) const;

  // Budgets.

  /// Adopts a generation that was read from or written to the table. Ignored
  /// if its number is not higher than that of the known generation.
  void SetBudgetGeneration(policy::BudgetGeneration generation, TimePoint now);

  /// Returns the generation to write to the table if the members have changed.
  /// The write must be conditional: the stored number is one lower, or no
  /// generation is stored. Empty if there is nothing to write or writing is not
  /// yet safe.
  std::optional<policy::BudgetGeneration> ProposeGeneration(
      TimePoint now) const;

  /// Records the demand for a class at this daemon. A report expires after 3 s
  /// (BudgetExchange::kMaxDemandAge), so callers must repeat it. Reports cause
  /// shares to move from daemons with a surplus to daemons with a shortage.
  void ReportDemand(std::string_view class_name, const ClassDemand& demand,
                    TimePoint now);

  /// Grants all shares to peers and announces the departure. Callers must keep
  /// calling Tick and OnMessage until HasLeft(), so that lost grants are sent
  /// again.
  void Leave(TimePoint now);

  /// Whether Leave was called and all grants are acknowledged or 2 s have
  /// passed.
  bool HasLeft(TimePoint now) const;

  MembersView Members(TimePoint now) const;

  /// Returns the usable shares as rates; empty unless IsConfirmed(). After a
  /// change of the configuration, each class is limited to the lower of its old
  /// and new rates until the members agree on the new one (about 10 s). A
  /// daemon that has just started does not know the old rates and uses no share
  /// until then, except in the first generation.
  BudgetsView Budgets(TimePoint now) const;

  const ClusterCounters& counters() const;

  /// Estimates the memory of the state in bytes: records and their heap blocks.
  std::size_t EstimateStateBytes() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp
