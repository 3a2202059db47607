#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/deployment.h"

namespace qp::relay {

/// Maps a host and the longest matching path prefix to a route.
class RouteTable {
 public:
  explicit RouteTable(const std::vector<Route>& routes);

  /// Null if no route matches. Shared ownership lets requests in flight keep
  /// their route when the configuration changes.
  std::shared_ptr<const Route> Find(std::string_view host,
                                    std::string_view path) const;

 private:
  using ByPrefix =
      std::map<std::string, std::shared_ptr<const Route>, std::less<>>;

  std::map<std::string, ByPrefix, std::less<>> by_host;
};

}  // namespace qp::relay
