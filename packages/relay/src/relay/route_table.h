#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/deployment.h"

namespace qp::relay {

/// Finds the route of a request by host and longest path prefix.
class RouteTable {
 public:
  explicit RouteTable(const std::vector<Route>& routes);

  /// Null if no route matches. Shared, so that requests under way keep their
  /// route when the configuration changes.
  std::shared_ptr<const Route> Find(std::string_view host,
                                    std::string_view path) const;

 private:
  using ByPrefix =
      std::map<std::string, std::shared_ptr<const Route>, std::less<>>;

  std::map<std::string, ByPrefix, std::less<>> by_host;
};

}  // namespace qp::relay
