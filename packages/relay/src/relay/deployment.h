#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp::relay {

/// Whether the relay may retry a failed request of a route.
enum class RetryPolicy {
  kNever,   ///< Requests are not idempotent and run at most once.
  kAlways,  ///< Requests are idempotent.
  kResume,  ///< Another server continues a stream after the last event.
};

/// One of the services that share the requests of a route.
struct WeightedService {
  std::string service;
  double weight = 1;  ///< Share of the requests, relative to other weights.
};

/// Rules for requests to one host with a path that begins with `prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kNever;
  bool streaming = false;
  /// Maximum time for a request with its whole response.
  Duration timeout{};
  /// Target time until the response, or until the first event of a stream.
  Duration latency_objective{};
  int priority = 0;  ///< 0 is the most urgent.
  /// Maximum number of tries of one request.
  int max_attempts = 1;
  /// Whether requests without a known API key are allowed.
  bool anonymous = false;
  /// Empty if the route could not be read: its requests can't be served.
  std::vector<WeightedService> services;
};

/// Memory of one kind of accelerator, and factors that scale the times of an
/// EngineProfile to engines on that kind.
struct Accelerator {
  double memory_mb = 0;
  double step_factor = 1;     ///< Multiplies the profile's step time.
  double prefill_factor = 1;  ///< Multiplies the profile's prefill time.
};

/// Configured speed and memory use of the engines of a model service.
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0;
  /// Size of the KV cache of one token, summed over all layers.
  double kv_bytes_per_token = 0;
  /// Fixed part of the time of a step through all layers.
  double step_ms = 0;
  /// Added to the time of a step for each stream.
  double step_ms_per_stream = 0;
  /// Added to the time of a step for each 1,000 tokens of context.
  double step_ms_per_1k_context = 0;
  double prefill_tokens_per_second = 0;
  /// Maximum number of streams whose chains begin with the same engine.
  std::uint32_t stream_slots = 0;
  double load_seconds = 0;  ///< Time to load all layers.
  /// Accelerators by kind.
  std::map<std::string, Accelerator, std::less<>> accelerators;

  /// Number of layers that fit into the memory of an accelerator of `kind`
  /// together with their KV cache for `kv_tokens` tokens; 0 for an unknown
  /// kind.
  std::uint32_t LayersThatFit(std::string_view kind, double kv_tokens) const;
};

struct Service {
  std::string name;
  /// Maximum number of connections to one server of the service, from all
  /// callers together.
  std::uint32_t connection_limit = 0;
  /// Empty for a service without engines.
  std::optional<EngineProfile> engine;
};

struct Workspace {
  std::string name;
  std::optional<int> priority;  ///< Overrides the route's priority.
};

/// Limits on the size and the duration of a caller's requests.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  /// Time from the first byte of a request until it has arrived whole.
  Duration header_timeout = std::chrono::seconds(3);
  /// Time without a request after which a connection is closed.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the configuration of a deployment.
struct DeploymentConfiguration {
  std::uint64_t version = 0;
  /// Shared with other versions that have the same routes.
  std::vector<std::shared_ptr<const Route>> routes;
  std::map<std::string, Service, std::less<>> services;
  CallerLimits limits;
  /// If false, no request needs an API key.
  bool has_workspaces = false;
  /// Workspaces by API key.
  std::map<std::string, Workspace, std::less<>> workspaces_by_key;
  /// Whether the keys of a workspace could not be read, so that a key that is
  /// not listed can be valid.
  bool has_unreadable_workspace = false;
  /// Why parts of the configuration could not be read, one reason a part.
  std::vector<std::string> unreadable;
};

/// Range [first, end) of the layers of a model.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  bool empty() const { return this->first >= this->end; }
  std::uint32_t size() const {
    return this->empty() ? 0 : this->end - this->first;
  }
  /// Whether a model of `layer_count` layers has all layers of the range.
  bool IsWithin(std::uint32_t layer_count) const {
    return this->empty() || this->end <= layer_count;
  }
  bool operator==(const LayerRange&) const = default;
};

/// A backend server's registration.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< "IP:port".
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::int64_t incarnation = 0;  ///< Wall-clock time of the server's start.
  std::string accelerator;       ///< Kind; empty for servers without layers.
  LayerRange layers;             ///< Layers that an engine holds.
  /// Number of heartbeats of this incarnation up to the entry.
  std::uint64_t heartbeats = 0;

  /// Compares all members but the heartbeats, which alone are no change.
  bool operator==(const ServerRecord& other) const;
};

}  // namespace qp::relay
