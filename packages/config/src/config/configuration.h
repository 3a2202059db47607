#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp {

/// Latency limits, and the request and token rates at which they must be met.
struct Target {
  Duration first_token{0};     ///< Limit on the time to the first token.
  Duration between_tokens{0};  ///< Limit on the time between tokens.
  double share = 0.95;         ///< Share of requests within the limits, 0..1.
  double requests_per_second = 0;
  double tokens_per_second = 0;  ///< 0 for classes of plain services.

  bool operator==(const Target&) const = default;
};

/// Requests to one model, or to one operation of a plain service.
struct RequestClass {
  std::string name;
  std::string model;       ///< Empty if the class is for a service.
  std::string service;     ///< Empty if the class is for a model.
  std::string operation;   ///< Required if `service` is set.
  bool idempotent = true;  ///< Whether a lost call can be resent safely.
  Target target;

  bool operator==(const RequestClass&) const = default;
};

/// Properties of a model that decide where its layers can be placed.
struct ModelSpec {
  std::string name;
  std::uint32_t layers = 0;
  std::uint64_t layer_bytes = 0;       ///< Size of the weights of one layer.
  std::uint64_t activation_bytes = 0;  ///< Bytes sent between layers per token.

  bool operator==(const ModelSpec&) const = default;
};

/// A customer whose callers share one bearer token.
struct Workspace {
  std::string name;
  std::string token_sha256;  ///< Lower-case hex digest of the bearer token.

  bool operator==(const Workspace&) const = default;
};

/// Capacity of one accelerator of the kind called `name`.
struct AcceleratorKind {
  std::string name;
  std::uint64_t memory_bytes = 0;
  double layer_tokens_per_second = 0;  ///< Layers times tokens, per second.

  bool operator==(const AcceleratorKind&) const = default;
};

struct Price {
  std::string kind;  ///< Name of the accelerator kind.
  std::string region;
  double per_hour = 0;  ///< In the currency of the price sheet.

  bool operator==(const Price&) const = default;
};

struct PriceSheet {
  std::string currency;
  std::vector<Price> prices;

  bool operator==(const PriceSheet&) const = default;
};

/// Everything that operators configure. One version is active at a time.
struct Configuration {
  std::uint64_t version = 0;
  std::string change_id;  ///< Id of the change that created this version.
  std::vector<RequestClass> classes;
  std::vector<ModelSpec> models;
  std::vector<AcceleratorKind> kinds;
  std::vector<Workspace> workspaces;
  PriceSheet price_sheet;

  bool operator==(const Configuration&) const = default;

  /// Class with this name; null if there is none.
  const RequestClass* FindClass(std::string_view name) const;
  /// Class of an operation of a plain service; null if there is none.
  const RequestClass* FindOperation(std::string_view service,
                                    std::string_view operation) const;
  const ModelSpec* FindModel(std::string_view name) const;
  /// Workspace whose token has this SHA-256; null if there is none.
  const Workspace* FindWorkspaceByToken(std::string_view token_sha256) const;
};

}  // namespace qp
