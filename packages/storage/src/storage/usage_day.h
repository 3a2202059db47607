#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp {

inline constexpr std::size_t kMinutesPerDay = 1440;

/// Minutes of one UTC day in which a VM was observed running. Merging the sets
/// of two observers of one VM counts each minute once.
using MinuteSet = std::bitset<kMinutesPerDay>;

/// A UTC day as written in item keys, such as "2026-12" and "04".
struct UsageDay {
  std::string month;
  std::string day;

  bool operator==(const UsageDay&) const = default;
};

UsageDay DayOf(WallMillis time);

/// Minute of the UTC day, 0 to 1439.
std::size_t MinuteOfDay(WallMillis time);

/// 360 lower-case hex digits; minute 0 is the lowest bit of the first digit.
std::string ToHex(const MinuteSet& minutes);

/// Inverse of ToHex; empty if the text does not have its format.
std::optional<MinuteSet> ParseMinutes(std::string_view text);

}  // namespace qp
