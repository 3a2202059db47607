#include "relay/upstream_pool.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace qp::relay {

namespace {

using Key = std::pair<std::string, std::int64_t>;

Key KeyOf(const Server& server) {
  return {server.record.id, server.record.incarnation};
}

/// Closes an idle connection that ends or on which bytes arrive: they belong
/// to no request.
class IdleConnection : public ChannelReader {
 public:
  IdleConnection(std::shared_ptr<Channel> open, TimePoint until)
      : channel(std::move(open)), usable_until(until) {
    // The request before may have been slowed down by its caller.
    this->channel->Resume();
    this->channel->SetReader(this);
  }
  ~IdleConnection() override {
    if (this->channel != nullptr) {
      this->channel->Close();
    }
  }

  void OnBytes(std::string_view) override { this->channel->Close(); }
  void OnClose(const boost::system::error_code&) override {
    this->channel->Close();
  }

  bool IsUsable(TimePoint now) const {
    return this->channel->is_open() && now < this->usable_until;
  }
  std::shared_ptr<Channel> Release() {
    return std::exchange(this->channel, nullptr);
  }

 private:
  std::shared_ptr<Channel> channel;
  TimePoint usable_until;
};

}  // namespace

struct UpstreamPool::State {
  explicit State(TimerQueue& queue) : timers(queue) {}

  TimerQueue& timers;
  std::map<Key, std::vector<std::unique_ptr<IdleConnection>>> idle;
};

UpstreamPool::UpstreamPool(TimerQueue& timers)
    : state(std::make_unique<State>(timers)) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<Channel> UpstreamPool::Acquire(const Server& server) {
  const auto found = this->state->idle.find(KeyOf(server));
  if (found == this->state->idle.end()) {
    return nullptr;
  }
  const TimePoint now = this->state->timers.Now();
  auto& connections = found->second;
  while (!connections.empty()) {
    const auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsUsable(now)) {
      return connection->Release();
    }
  }
  return nullptr;
}

void UpstreamPool::Release(const Server& server,
                           std::shared_ptr<Channel> channel,
                           std::optional<Duration> keep_alive) {
  const Duration stated = keep_alive.value_or(kDefaultIdle);
  const Duration usable = std::min(stated, kDefaultIdle) - kIdleMargin;
  auto& connections = this->state->idle[KeyOf(server)];
  if (usable <= Duration{0} || connections.size() >= kMaxIdle ||
      !server.IsUsable()) {
    channel->Close();
    return;
  }
  connections.push_back(std::make_unique<IdleConnection>(
      std::move(channel), this->state->timers.Now() + usable));
}

void UpstreamPool::Expire() {
  const TimePoint now = this->state->timers.Now();
  for (auto entry = this->state->idle.begin();
       entry != this->state->idle.end();) {
    std::erase_if(entry->second, [now](const auto& connection) {
      return !connection->IsUsable(now);
    });
    entry = entry->second.empty() ? this->state->idle.erase(entry)
                                  : std::next(entry);
  }
}

std::size_t UpstreamPool::idle() const {
  std::size_t count = 0;
  for (const auto& [key, connections] : this->state->idle) {
    count += connections.size();
  }
  return count;
}

}  // namespace qp::relay
