#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/peer_link.h"
#include "foundation/clock.h"

namespace qp {

/// What happens to messages between in-memory links.
struct NetworkFaults {
  double loss = 0;         ///< Probability of a message being lost.
  double duplication = 0;  ///< Probability of it arriving twice.
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(1);
};

/// Network for tests: links in one process whose faults are drawn from a seed.
/// Messages are delivered by the clock's thread. Not thread-safe.
class InMemoryNetwork {
 public:
  InMemoryNetwork(Clock& clock, std::uint64_t random_seed);
  ~InMemoryNetwork();
  InMemoryNetwork(const InMemoryNetwork&) = delete;
  InMemoryNetwork& operator=(const InMemoryNetwork&) = delete;

  /// Link of `address`; a second call disconnects the link made before.
  std::unique_ptr<PeerLink> Connect(std::string address);

  /// Applies to messages sent from now on.
  void SetFaults(const NetworkFaults& faults);

  /// Places an address in a part of the network; all start in part 0.
  /// Messages between different parts are lost, also those under way.
  void SetPartition(const std::string& address, int partition);

  /// Places all addresses in part 0.
  void Heal();

  /// Loses all messages from one address to another from now on.
  void BlockPath(const std::string& from, const std::string& to);

 private:
  class Link;
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp
