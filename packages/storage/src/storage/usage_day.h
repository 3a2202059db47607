#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp {

inline constexpr std::size_t kMinutesPerDay = 1440;

/// Minutes of one UTC day in which a VM was seen to run. A set, so that two
/// observers of one VM do not count it twice.
using MinuteSet = std::bitset<kMinutesPerDay>;

/// A UTC day, as in keys: "2026-12" and "04".
struct UsageDay {
  std::string month;
  std::string day;

  bool operator==(const UsageDay&) const = default;
};

UsageDay DayOf(WallMillis time);

/// Minute of its UTC day, 0 to 1439.
std::size_t MinuteOfDay(WallMillis time);

/// 360 hex digits, minute 0 in the lowest bit of the first digit.
std::string ToHex(const MinuteSet& minutes);

/// Empty if the text is not the form of ToHex.
std::optional<MinuteSet> ParseMinutes(std::string_view text);

}  // namespace qp
