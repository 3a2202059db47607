#include "standins/load_history.h"

#include <algorithm>

namespace qp::standins {

namespace {

// At some thousand changes a second this covers several seconds of lag.
constexpr std::size_t kMaxChanges = 65536;

}  // namespace

void LoadHistory::Set(TimePoint now, Load load) {
  this->latest = load;
  this->changes.push_back({now, load});
  if (this->changes.size() > kMaxChanges) {
    this->changes.pop_front();
  }
}

Load LoadHistory::At(TimePoint when) const {
  const auto after = std::partition_point(
      this->changes.begin(), this->changes.end(),
      [when](const Change& change) { return change.at <= when; });
  return after == this->changes.begin() ? Load{} : std::prev(after)->load;
}

}  // namespace qp::standins
