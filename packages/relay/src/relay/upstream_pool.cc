#include "relay/upstream_pool.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace qp::relay {

namespace {

using ServerKey = std::pair<std::string, std::int64_t>;

ServerKey KeyOf(const Server& server) {
  return {server.record.id, server.record.incarnation};
}

/// Closes an idle connection if the peer closes it or sends bytes, because such
/// bytes belong to no request.
class IdleConnection : public ChannelReader {
 public:
  IdleConnection(std::shared_ptr<Channel> open_channel, TimePoint idle_end)
      : channel(std::move(open_channel)), usable_until(idle_end) {
    // Reading can still be paused because the caller of the last request was
    // slow.
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
  /// Whether the server has closed the connection or sent bytes, also if the
  /// reader has not been told so yet.
  bool HasEnded() const { return !this->channel->IsQuiet(); }
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
  std::map<ServerKey, std::vector<std::unique_ptr<IdleConnection>>> idle;
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
    if (connection->IsUsable(now) && !connection->HasEnded()) {
      return connection->Release();
    }
  }
  return nullptr;
}

void UpstreamPool::Release(const Server& server,
                           std::shared_ptr<Channel> channel,
                           std::optional<Duration> keep_alive) {
  const Duration stated_time = keep_alive.value_or(kMaxIdleTime);
  const Duration idle_time = std::min(stated_time, kMaxIdleTime) - kIdleMargin;
  auto& connections = this->state->idle[KeyOf(server)];
  if (idle_time <= Duration{0} || connections.size() >= kMaxIdlePerServer ||
      !server.IsUsable()) {
    channel->Close();
    return;
  }
  connections.push_back(std::make_unique<IdleConnection>(
      std::move(channel), this->state->timers.Now() + idle_time));
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
