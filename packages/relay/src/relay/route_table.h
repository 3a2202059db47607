#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/deployment.h"

namespace qp::relay {

/// Finds the route of a request: among the routes of its host, the one with the
/// longest prefix of its path.
class RouteTable {
 public:
  explicit RouteTable(const std::vector<Route>& routes);

  /// Returns null if no route matches. Ownership is shared so that requests in
  /// flight keep their route when the configuration changes.
  std::shared_ptr<const Route> Find(std::string_view host,
                                    std::string_view path) const;

 private:
  using ByPrefix =
      std::map<std::string, std::shared_ptr<const Route>, std::less<>>;

  std::map<std::string, ByPrefix, std::less<>> by_host;
};

}  // namespace qp::relay
