#include "cluster/in_memory_network.h"

#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace qp {

struct InMemoryNetwork::State {
  State(Clock& network_clock, std::uint64_t seed)
      : clock(network_clock), random(seed) {}

  int PartitionOf(const std::string& address) const {
    const auto found = this->partitions.find(address);
    return found == this->partitions.end() ? 0 : found->second;
  }

  bool CanDeliver(const std::string& from, const std::string& to) const {
    return this->PartitionOf(from) == this->PartitionOf(to) &&
           !this->blocked.contains({from, to});
  }

  bool DrawBool(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

  Duration DrawDelay() {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        this->faults.min_delay.count(),
        this->faults.max_delay.count())(this->random));
  }

  Clock& clock;
  std::mt19937_64 random;
  NetworkFaults faults;
  std::unordered_map<std::string, Link*> links;
  std::unordered_map<std::string, int> partitions;
  std::set<std::pair<std::string, std::string>> blocked;
};

class InMemoryNetwork::Link : public PeerLink {
 public:
  Link(std::shared_ptr<State> network, std::string own_address)
      : state(std::move(network)), address(std::move(own_address)) {
    this->state->links[this->address] = this;
  }

  ~Link() override {
    const auto found = this->state->links.find(this->address);
    if (found != this->state->links.end() && found->second == this) {
      this->state->links.erase(found);
    }
  }

  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Send(std::string_view to, std::string_view message) override {
    State& network = *this->state;
    if (network.DrawBool(network.faults.loss)) {
      return;
    }
    const int copies = network.DrawBool(network.faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      this->Deliver(std::string(to), std::string(message));
    }
  }

  void SetReceiver(Receiver message_receiver) override {
    this->receiver = std::move(message_receiver);
  }

 private:
  void Deliver(std::string to, std::string message) {
    const TimePoint at = this->state->clock.Now() + this->state->DrawDelay();
    this->state->clock.Schedule(
        at, [weak = std::weak_ptr<State>(this->state), from = this->address,
             to = std::move(to), message = std::move(message)] {
          const auto network = weak.lock();
          if (!network || !network->CanDeliver(from, to)) {
            return;
          }
          const auto found = network->links.find(to);
          if (found != network->links.end() && found->second->receiver) {
            found->second->receiver(message);
          }
        });
  }

  std::shared_ptr<State> state;
  std::string address;
  Receiver receiver;
};

InMemoryNetwork::InMemoryNetwork(Clock& clock, std::uint64_t random_seed)
    : state(std::make_shared<State>(clock, random_seed)) {}

InMemoryNetwork::~InMemoryNetwork() = default;

std::unique_ptr<PeerLink> InMemoryNetwork::Connect(std::string address) {
  return std::make_unique<Link>(this->state, std::move(address));
}

void InMemoryNetwork::SetFaults(const NetworkFaults& faults) {
  this->state->faults = faults;
}

void InMemoryNetwork::SetPartition(const std::string& address, int partition) {
  this->state->partitions[address] = partition;
}

void InMemoryNetwork::Heal() { this->state->partitions.clear(); }

void InMemoryNetwork::BlockPath(const std::string& from,
                                const std::string& to) {
  this->state->blocked.emplace(from, to);
}

}  // namespace qp
