#pragma once

#include <cstdint>
#include <map>
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

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Rules for requests to one host with a path that begins with `prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kNever;
  bool streaming = false;
  Duration timeout{};  ///< For the whole response.
  /// For the response, or a stream's first event.
  Duration latency_objective{};
  int priority = 0;        ///< 0 is the most urgent.
  int max_attempts = 1;    ///< Limit on the servers tried for one request.
  bool anonymous = false;  ///< Requests need no API key.
  std::vector<WeightedService> services;
};

/// Properties of one kind of accelerator.
struct Accelerator {
  double memory_mb = 0;
  double step_factor = 1;     ///< Multiplies the profile's time of a step.
  double prefill_factor = 1;  ///< Multiplies the profile's prefill time.
};

/// Configured speed and memory use of the engines of a model service.
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  ///< Sum over all layers.
  double step_ms = 0;             ///< Fixed part of a step through all layers.
  double step_ms_per_stream = 0;
  double step_ms_per_1k_context = 0;
  double prefill_tokens_per_second = 0;
  /// Limit on the streams of which an engine is the first of the chain.
  std::uint32_t stream_slots = 0;
  double load_seconds = 0;  ///< Time to load all layers.
  std::map<std::string, Accelerator, std::less<>> accelerators;

  /// Number of layers that fit into the memory of an accelerator of `kind`
  /// together with the KV cache for `kv_tokens` tokens. 0 for an unknown kind.
  std::uint32_t LayersThatFit(std::string_view kind, double kv_tokens) const;
};

struct Service {
  std::string name;
  std::uint32_t connection_limit = 0;  ///< Of one server, for all callers.
  std::optional<EngineProfile> engine;
};

struct Workspace {
  std::string name;
  std::optional<int> priority;  ///< Overrides the route's priority.
};

/// Limits on the size and the duration of a client's requests.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the configuration of a deployment.
struct DeploymentConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  CallerLimits limits;
  bool has_workspaces = false;  ///< False: requests carry no API key.
  std::map<std::string, Workspace, std::less<>> workspaces_by_key;
};

/// Layers [first, end) that an engine holds.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  bool empty() const { return this->first >= this->end; }
  std::uint32_t size() const {
    return this->empty() ? 0 : this->end - this->first;
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
  std::string accelerator;       ///< Empty for plain services.
  LayerRange layers;

  bool operator==(const ServerRecord&) const = default;
};

}  // namespace qp::relay
