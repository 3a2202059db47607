#pragma once

#include <map>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::policy {

/// Region and availability zone of an engine.
struct Location {
  std::string_view region;
  std::string_view availability_zone;
};

/// Network path between two engines.
struct Link {
  Duration latency{};           ///< One way.
  double bytes_per_second = 0;  ///< Bandwidth for one pair of engines.
};

/// Links between engines, by the availability zones of their ends. A pair of
/// zones that was never measured has one of the assumed links below, depending
/// on whether its ends share a zone or a region.
class LinkMap {
 public:
  /// Assumed links: 10 Gbit/s within a zone, 1 Gbit/s between zones of a region
  /// and 100 Mbit/s between regions.
  static constexpr Link kWithinZone{std::chrono::microseconds(100), 1.25e9};
  static constexpr Link kBetweenZones{std::chrono::microseconds(500), 1.25e8};
  static constexpr Link kBetweenRegions{std::chrono::milliseconds(30), 1.25e7};

  /// Sets a measured link for both directions.
  void Set(std::string_view zone, std::string_view other_zone, Link link);

  Link Between(const Location& from, const Location& to) const;

 private:
  /// Measured links, keyed by the lesser and then the greater zone name.
  std::map<std::string, std::map<std::string, Link, std::less<>>, std::less<>>
      measured;
};

}  // namespace qp::policy
