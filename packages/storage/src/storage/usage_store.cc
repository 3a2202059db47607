#include "storage/usage_store.h"

#include <utility>

#include "storage/table.h"

namespace qp {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "usage/";
constexpr double kMinutesPerHour = 60;

std::string KeyOf(const UsedVm& vm, const std::string& month,
                  const std::string& day) {
  return std::string(kPrefix) + month + "/" + vm.vm + "/" + day;
}

json MakeItemValue(const UsedVm& vm, const MinuteSet& minutes) {
  return {
      {"kind", vm.kind}, {"region", vm.region}, {"minutes", ToHex(minutes)}};
}

MinuteSet MinutesOf(const TableItem& item) {
  return ParseMinutes(item.value.value("minutes", "")).value_or(MinuteSet{});
}

}  // namespace

UsageStore::UsageStore(Table& service, const Clock& time)
    : table(service), clock(time) {}

void UsageStore::RecordRunning(const UsedVm& vm) {
  const WallMillis now = this->clock.WallNow();
  UsageDay day = DayOf(now);
  this->pending[{vm, std::move(day.month), std::move(day.day)}].set(
      MinuteOfDay(now));
}

Task<void> UsageStore::Flush() {
  auto recorded = std::exchange(this->pending, {});
  for (auto& [key, minutes] : recorded) {
    const bool written = co_await this->FlushOne(key, minutes);
    if (!written) {
      this->pending[key] |= minutes;
    }
  }
}

Task<bool> UsageStore::FlushOne(PendingKey pending_key, MinuteSet minutes) {
  const auto& [vm, month, day] = pending_key;
  const std::string key = KeyOf(vm, month, day);
  const auto item = co_await this->table.Read(key);
  if (!item) {
    co_return false;
  }
  TableOperation write;
  write.key = key;
  write.condition = IfAbsent{};
  if (item.value()) {
    const MinuteSet known = MinutesOf(*item.value());
    if ((known | minutes) == known) {
      co_return true;
    }
    minutes |= known;
    write.condition = IfVersion{item.value()->version};
  }
  write.put = MakeItemValue(vm, minutes);
  const auto results = co_await this->table.Transact(TransactMode::kEach,
                                                     Single(std::move(write)));
  co_return results&& results.value().front().applied;
}

Task<Result<std::vector<UsedHours>>> UsageStore::HoursOf(std::string month) {
  const auto items =
      co_await this->table.Scan(std::string(kPrefix) + month + "/");
  if (!items) {
    co_return items.error();
  }
  std::map<std::pair<std::string, std::string>, double> hours;
  for (const TableItem& item : items.value()) {
    std::pair<std::string, std::string> group(item.value.value("kind", ""),
                                              item.value.value("region", ""));
    hours[std::move(group)] +=
        static_cast<double>(MinutesOf(item).count()) / kMinutesPerHour;
  }
  std::vector<UsedHours> summed;
  summed.reserve(hours.size());
  for (const auto& [group, sum] : hours) {
    summed.push_back({group.first, group.second, sum});
  }
  co_return summed;
}

}  // namespace qp
