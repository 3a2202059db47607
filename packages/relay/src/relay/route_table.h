#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "relay/deployment.h"

namespace qp::relay {

/// Finds the route of a request: among the routes of its host, the one with the
/// longest prefix of its path.
class RouteTable {
 public:
  /// A later route replaces an earlier one with the same host and prefix.
  explicit RouteTable(std::span<const std::shared_ptr<const Route>> routes);

  /// Returns null if no route matches. Ownership is shared so that requests in
  /// flight keep their route when the configuration changes.
  std::shared_ptr<const Route> Find(std::string_view host,
                                    std::string_view path) const;

 private:
  using ByPrefix =
      std::map<std::string, std::shared_ptr<const Route>, std::less<>>;

  std::map<std::string, ByPrefix, std::less<>> by_host;
};

/// A configuration and the route table built from it.
struct ActiveConfiguration {
  explicit ActiveConfiguration(DeploymentConfiguration content)
      : configuration(std::move(content)), routes(configuration.routes) {}

  DeploymentConfiguration configuration;
  RouteTable routes;
};

}  // namespace qp::relay
