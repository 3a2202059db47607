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

/// The configuration active on this daemon; empty until this daemon knows one.
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
  TimePoint heard_at{};         ///< Local time of the latest update.
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
  std::uint32_t running = 0;  ///< Number running at `reported_at`.
  std::uint32_t queued = 0;   ///< Number waiting at `reported_at`.
  TimePoint reported_at{};    ///< Time of the latest report.
  bool leaving = false;
  bool reachable = true;

  bool IsRoutable() const { return this->reachable && !this->leaving; }
};

struct BackendsView {
  std::vector<Backend> backends;  ///< Ordered by name.
};

/// This daemon's share of the rate limits of a request class.
struct ClassShare {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

struct BudgetsView {
  std::uint64_t generation = 0;  ///< Generation of the budgets in `shares`.
  std::map<std::string, ClassShare, std::less<>> shares;  ///< By class name.
};

/// Whether the daemon accepts new work, and if not, why.
struct ReadinessView {
  bool ready = false;
  bool draining = false;
  std::string reason;  ///< Why the daemon is not ready.
};

}  // namespace qp
