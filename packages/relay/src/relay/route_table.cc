#include "relay/route_table.h"

namespace qp::relay {

RouteTable::RouteTable(std::span<const std::shared_ptr<const Route>> routes) {
  for (const auto& route : routes) {
    this->by_host[route->host][route->prefix] = route;
  }
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view host,
                                              std::string_view path) const {
  const auto routes = this->by_host.find(host);
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only parts of the path up to a slash can
  // match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found = routes->second.find(path.substr(0, slash + 1));
    if (found != routes->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

}  // namespace qp::relay
