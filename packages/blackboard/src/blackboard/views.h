#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "foundation/clock.h"

namespace qp {

/// The configuration active on this daemon; empty until one is known.
struct ConfigurationView {
  std::optional<Configuration> configuration;
};

enum class MemberState { kAlive, kSuspect, kLeaving, kGone };

/// Lower-case name, as used in reports and metrics.
std::string_view ToString(MemberState state);

/// Another daemon, as known to this daemon.
struct Member {
  std::string node;
  std::string peer_address;
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;  ///< Increases with each start of the node.
  MemberState state = MemberState::kAlive;
  std::uint64_t configuration_version = 0;
  std::uint64_t heartbeat = 0;  ///< Number of heartbeats of this incarnation.
  TimePoint heard_at{};         ///< Local time of the latest update about it.
};

struct MembersView {
  std::vector<Member> members;  ///< Excludes this daemon; ordered by node.
};

enum class BackendRole { kEngine, kService };

/// A backend server: a model engine with its layer range, or a plain service.
struct Backend {
  std::string name;     ///< VM name, unique.
  std::string address;  ///< "IP:port".
  BackendRole role = BackendRole::kEngine;
  std::string region;
  std::string availability_zone;
  std::string kind;     ///< Accelerator kind; empty for services.
  std::string model;    ///< Model loaded; empty if none.
  std::string service;  ///< Service offered; empty for engines.
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 0;    ///< Maximum concurrent streams or calls.
  std::uint32_t running = 0;  ///< As of `reported_at`, lagging.
  std::uint32_t queued = 0;   ///< As of `reported_at`, lagging.
  TimePoint reported_at{};
  bool leaving = false;
  bool reachable = true;

  bool IsRoutable() const { return this->reachable && !this->leaving; }
};

struct BackendsView {
  std::vector<Backend> backends;  ///< Ordered by name.
};

/// This daemon's share of the rate limit of a request class.
struct ClassShare {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

struct BudgetsView {
  std::uint64_t generation = 0;
  std::map<std::string, ClassShare, std::less<>> shares;  ///< By class name.
};

/// Whether the daemon accepts new work, and if not, why.
struct ReadinessView {
  bool ready = false;
  bool draining = false;
  std::string reason;  ///< Why it is not ready.
};

}  // namespace qp
