#pragma once

#include <map>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::policy {

/// Where an engine stands.
struct Location {
  std::string_view region;
  std::string_view availability_zone;
};

/// Path between two engines.
struct Link {
  Duration latency{};           ///< One way.
  double bytes_per_second = 0;  ///< Of one pair of engines.
};

/// Links between engines by the availability zones of their ends. A pair that
/// was never measured has an assumed link by how far apart its ends are.
class LinkMap {
 public:
  static constexpr Link kWithinZone{std::chrono::microseconds(100), 1.25e9};
  static constexpr Link kBetweenZones{std::chrono::microseconds(500), 1.25e8};
  static constexpr Link kBetweenRegions{std::chrono::milliseconds(30), 1.25e7};

  /// Measured link, for both directions.
  void Set(std::string_view zone, std::string_view other_zone, Link link);

  Link Between(const Location& from, const Location& to) const;

 private:
  /// By the lesser, then by the greater zone name.
  std::map<std::string, std::map<std::string, Link, std::less<>>, std::less<>>
      measured;
};

}  // namespace qp::policy
