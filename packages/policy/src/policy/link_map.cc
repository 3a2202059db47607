#include "policy/link_map.h"

#include <algorithm>

namespace qp::policy {

void LinkMap::Set(std::string_view zone, std::string_view other_zone,
                  Link link) {
  const auto [lesser, greater] = std::minmax(zone, other_zone);
  this->measured[std::string(lesser)].insert_or_assign(std::string(greater),
                                                       link);
}

Link LinkMap::Between(const Location& from, const Location& to) const {
  const auto [lesser, greater] =
      std::minmax(from.availability_zone, to.availability_zone);
  const auto links = this->measured.find(lesser);
  if (links != this->measured.end()) {
    const auto found = links->second.find(greater);
    if (found != links->second.end()) {
      return found->second;
    }
  }
  if (from.region != to.region) {
    return kBetweenRegions;
  }
  return from.availability_zone == to.availability_zone ? kWithinZone
                                                        : kBetweenZones;
}

}  // namespace qp::policy
