#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp::relay {

/// What a failed request of a route allows the relay to do.
enum class RetryPolicy {
  kNever,   ///< Not idempotent: runs at most once.
  kAlways,  ///< Idempotent.
  kResume,  ///< A stream that another server continues after the last event.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Requests of one host whose path begins with `prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kNever;
  bool streaming = false;
  Duration timeout{};            ///< Longest wait for the whole answer.
  Duration latency_objective{};  ///< For the answer, or a stream's first event.
  int priority = 0;              ///< 0 is the most urgent.
  int max_attempts = 1;          ///< Servers that one request may be sent to.
  bool anonymous = false;        ///< Needs no key.
  std::vector<WeightedService> services;
};

/// Accelerators of one kind.
struct Accelerator {
  double memory_mb = 0;
  double step_factor = 1;     ///< Time of a token step against the engine's.
  double prefill_factor = 1;  ///< Time of reading a prompt, likewise.
};

/// Speed and memory of the engines of a model service, as configured.
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  ///< For all layers together.
  double step_ms = 0;             ///< Fixed part of a step, all layers.
  double step_ms_per_stream = 0;
  double step_ms_per_1k_context = 0;
  double prefill_tokens_per_second = 0;
  std::uint32_t stream_slots = 0;  ///< Streams that start at one engine.
  double load_seconds = 0;         ///< For all layers.
  std::map<std::string, Accelerator, std::less<>> accelerators;

  /// Layers that fit beside memory for `kv_tokens` tokens of requests.
  std::uint32_t LayersThatFit(std::string_view kind, double kv_tokens) const;
};

struct Service {
  std::string name;
  std::uint32_t connection_limit = 0;  ///< Of one server, over all callers.
  std::optional<EngineProfile> engine;
};

struct Workspace {
  std::string name;
  std::optional<int> priority;  ///< Goes before that of the route.
};

/// Bounds on what a client may send and how long it may take.
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
  bool has_workspaces = false;  ///< False: requests carry no key.
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

/// A backend server as it registered itself.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< "IP:port".
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::int64_t incarnation = 0;  ///< Wall time of its start; differs by start.
  std::string accelerator;       ///< Empty for plain services.
  LayerRange layers;

  bool operator==(const ServerRecord&) const = default;
};

}  // namespace qp::relay
