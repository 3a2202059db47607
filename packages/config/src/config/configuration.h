#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp {

/// How fast and how much a class of requests must be served.
struct Target {
  Duration first_token{0};     ///< Bound on the time to the first token.
  Duration between_tokens{0};  ///< Bound on the time between tokens.
  double share = 0.95;         ///< Share of requests held to the bounds, 0..1.
  double requests_per_second = 0;
  double tokens_per_second = 0;  ///< 0 for classes of plain services.

  bool operator==(const Target&) const = default;
};

/// A class of requests with its target. Names either a model or a service.
struct RequestClass {
  std::string name;
  std::string model;       ///< Empty for a class of a plain service.
  std::string service;     ///< Empty for a class of a model.
  std::string operation;   ///< Operation of the service.
  bool idempotent = true;  ///< Whether a lost call may be sent again.
  Target target;

  bool operator==(const RequestClass&) const = default;
};

/// A model as the placement sees it.
struct ModelSpec {
  std::string name;
  std::uint32_t layers = 0;
  std::uint64_t layer_bytes = 0;       ///< Weights of one layer, bytes.
  std::uint64_t activation_bytes = 0;  ///< Handed from layer to layer, a token.

  bool operator==(const ModelSpec&) const = default;
};

/// A customer whose callers share one bearer token.
struct Workspace {
  std::string name;
  std::string token_sha256;  ///< Lower-case hex digest of the bearer token.

  bool operator==(const Workspace&) const = default;
};

/// A kind of accelerator, what it can do and what it costs.
struct AcceleratorKind {
  std::string name;
  std::uint64_t memory_bytes = 0;
  double layer_tokens_per_second = 0;  ///< Layers times tokens, a second.

  bool operator==(const AcceleratorKind&) const = default;
};

struct Price {
  std::string kind;
  std::string region;
  double per_hour = 0;  ///< In the currency of the price sheet.

  bool operator==(const Price&) const = default;
};

struct PriceSheet {
  std::string currency;
  std::vector<Price> prices;

  bool operator==(const PriceSheet&) const = default;
};

/// Everything that operators state; one version of it is in force.
struct Configuration {
  std::uint64_t version = 0;
  std::string change_id;  ///< Names the change that made this version.
  std::vector<RequestClass> classes;
  std::vector<ModelSpec> models;
  std::vector<AcceleratorKind> kinds;
  std::vector<Workspace> workspaces;
  PriceSheet price_sheet;

  bool operator==(const Configuration&) const = default;

  /// Null if there is none of that name.
  const RequestClass* FindClass(std::string_view name) const;
  /// Class of a plain service's operation; null if there is none.
  const RequestClass* FindOperation(std::string_view service,
                                    std::string_view operation) const;
  const ModelSpec* FindModel(std::string_view name) const;
  /// Workspace whose token has this digest; null if there is none.
  const Workspace* FindWorkspaceByToken(std::string_view token_sha256) const;
};

}  // namespace qp
