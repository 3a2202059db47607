#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/peer_link.h"
#include "foundation/clock.h"

namespace qp {

/// Faults applied to messages between in-memory links.
struct NetworkFaults {
  double loss = 0;         ///< Probability that a message is lost.
  double duplication = 0;  ///< Probability that a message arrives twice.
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(1);
};

/// Network for tests: links within one process, with random faults that are
/// reproducible from a seed. Messages are delivered on the clock's thread. Not
/// thread-safe.
class InMemoryNetwork {
 public:
  InMemoryNetwork(Clock& clock, std::uint64_t random_seed);
  ~InMemoryNetwork();
  InMemoryNetwork(const InMemoryNetwork&) = delete;
  InMemoryNetwork& operator=(const InMemoryNetwork&) = delete;

  /// Returns the link of `address`. A second call for an address disconnects
  /// its earlier link.
  std::unique_ptr<PeerLink> Connect(std::string address);

  /// Sets the faults for messages sent from now on.
  void SetFaults(const NetworkFaults& faults);

  /// Places an address in a partition of the network. All addresses start in
  /// partition 0.
  /// Messages between different partitions are lost, including those in
  /// transit.
  void SetPartition(const std::string& address, int partition);

  /// Places all addresses in partition 0.
  void Heal();

  /// Drops all messages from one address to another, including those in
  /// transit.
  void BlockPath(const std::string& from, const std::string& to);

 private:
  class Link;
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp
