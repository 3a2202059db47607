#include "storage/usage_day.h"

#include <chrono>
#include <cstdio>

namespace qp {

namespace {

constexpr std::size_t kBitsPerDigit = 4;
constexpr std::size_t kHexDigits = kMinutesPerDay / kBitsPerDigit;
constexpr std::string_view kDigits = "0123456789abcdef";

std::chrono::sys_time<std::chrono::milliseconds> SysTime(WallMillis time) {
  return std::chrono::sys_time<std::chrono::milliseconds>(
      std::chrono::milliseconds(time));
}

}  // namespace

UsageDay DayOf(WallMillis time) {
  const std::chrono::year_month_day date(
      std::chrono::floor<std::chrono::days>(SysTime(time)));
  char month[16];
  char day[8];
  std::snprintf(month, sizeof month, "%04d-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()));
  std::snprintf(day, sizeof day, "%02u", static_cast<unsigned>(date.day()));
  return {month, day};
}

std::size_t MinuteOfDay(WallMillis time) {
  const auto instant = SysTime(time);
  const auto since_midnight =
      instant - std::chrono::floor<std::chrono::days>(instant);
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::minutes>(since_midnight).count());
}

std::string ToHex(const MinuteSet& minutes) {
  std::string text;
  text.reserve(kHexDigits);
  for (std::size_t digit = 0; digit < kHexDigits; ++digit) {
    std::size_t value = 0;
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      value |= std::size_t{minutes[digit * kBitsPerDigit + bit]} << bit;
    }
    text += kDigits[value];
  }
  return text;
}

std::optional<MinuteSet> ParseMinutes(std::string_view text) {
  if (text.size() != kHexDigits) {
    return std::nullopt;
  }
  MinuteSet minutes;
  for (std::size_t digit = 0; digit < kHexDigits; ++digit) {
    const auto value = kDigits.find(text[digit]);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      minutes[digit * kBitsPerDigit + bit] = ((value >> bit) & 1) != 0;
    }
  }
  return minutes;
}

}  // namespace qp
