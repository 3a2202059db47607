#include "relay/request_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "foundation/hash.h"

namespace qp::relay {

namespace {

/// One request, less an allowance for rounding, so that there is room at
/// NextRoom.
constexpr double kOneToken = 1 - 1e-6;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool RequestLimit::Record(std::optional<double> new_rate, TimePoint stated_at) {
  if (this->last_stated_at && stated_at < *this->last_stated_at) {
    return false;
  }
  const auto before = this->RateAt(stated_at);
  if (!before) {
    // Nothing is saved up from the time without a limit.
    this->tokens = 0;
    this->refilled_at = stated_at;
  }
  this->Refill(std::max(stated_at, this->refilled_at));
  this->rate = new_rate;
  this->last_stated_at = stated_at;
  return before != new_rate;
}

void RequestLimit::SetShare(double new_share, TimePoint now) {
  this->Refill(now);
  this->own_share = new_share;
}

std::optional<double> RequestLimit::RateAt(TimePoint now) const {
  const bool expired =
      !this->last_stated_at || now - *this->last_stated_at > kMaxAge;
  return expired ? std::nullopt : this->rate;
}

bool RequestLimit::HasRoom(TimePoint now) const {
  return !this->RateAt(now) || this->TokensAt(now) >= kOneToken;
}

std::optional<TimePoint> RequestLimit::NextRoom(TimePoint now) const {
  if (this->HasRoom(now)) {
    return now;
  }
  if (this->OwnRate() <= 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> wait((1 - this->TokensAt(now)) /
                                           this->OwnRate());
  return now + std::chrono::ceil<Duration>(wait);
}

bool RequestLimit::TryAcquire(TimePoint now) {
  if (!this->HasRoom(now)) {
    return false;
  }
  if (this->RateAt(now)) {
    this->Refill(now);
    this->tokens -= 1;
  }
  return true;
}

double RequestLimit::TokensAt(TimePoint now) const {
  const double elapsed = SecondsOf(now - this->refilled_at);
  return std::min(1.0, this->tokens + std::max(0.0, elapsed) * this->OwnRate());
}

double RequestLimit::OwnRate() const {
  return std::max(this->rate.value_or(0), kMinRate) * this->own_share;
}

void RequestLimit::Refill(TimePoint now) {
  this->tokens = this->TokensAt(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

double ShareOfLimit(double rate, std::string_view server, std::string_view own,
                    std::span<const std::string> processes) {
  const auto weight_of = [server](std::string_view process) {
    return Hash64(std::string(server) + '\n' + std::string(process), 0);
  };
  const std::uint64_t own_weight = weight_of(own);
  std::size_t heavier = 0;
  bool is_member = false;
  for (const auto& process : processes) {
    is_member = is_member || process == own;
    const std::uint64_t weight = weight_of(process);
    heavier +=
        weight > own_weight || (weight == own_weight && process < own) ? 1 : 0;
  }
  const double most = std::floor(2 * rate) + 1;
  const auto holders = static_cast<std::size_t>(
      std::min(most, static_cast<double>(processes.size())));
  return is_member && heavier < holders ? 1.0 / static_cast<double>(holders)
                                        : 0;
}

}  // namespace qp::relay
