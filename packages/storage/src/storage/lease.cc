#include "storage/lease.h"

#include <algorithm>
#include <utility>

#include "storage/table.h"

namespace qp {

namespace {

nlohmann::json MakeItemValue(std::string_view holder, std::uint64_t fence) {
  return {{"holder", holder}, {"fence", fence}};
}

}  // namespace

Lease::Lease(Table& service, Clock& time, EventSink& sink, std::string item_key,
             std::string holder_name, LeaseTerms lease_terms)
    : table(service),
      clock(time),
      events(sink),
      key(std::move(item_key)),
      holder(std::move(holder_name)),
      terms(lease_terms) {}

Task<void> Lease::Tick() {
  const auto item = co_await this->table.Read(this->key);
  if (!item) {
    this->CheckExpiry();
    co_return;
  }
  if (!item.value()) {
    co_await this->Write(1, std::nullopt, this->terms.term);
    co_return;
  }
  const TableItem& current = *item.value();
  const std::uint64_t current_fence =
      current.value.value("fence", std::uint64_t{0});
  const std::string current_holder = current.value.value("holder", "");
  if (current_holder == this->holder) {
    co_await this->Write(current_fence, current.version, this->terms.term);
    co_return;
  }
  this->CheckExpiry();
  this->Observe(current);
  if (current_holder.empty() || this->FormerHolderHasStopped()) {
    co_await this->Write(current_fence + 1, current.version, this->terms.term);
  }
}

Task<void> Lease::Resign() {
  const std::uint64_t own = std::exchange(this->fence, 0);
  if (own == 0) {
    co_return;
  }
  this->LogLost("resigned");
  TableOperation release{this->key, MakeItemValue("", own),
                         IfField{"holder", this->holder}};
  // If this write fails, the next holder waits until the term has ended.
  std::ignore = co_await this->table.Transact(TransactMode::kAll,
                                              Single(std::move(release)));
}

Task<void> Lease::Write(std::uint64_t next_fence,
                        std::optional<std::uint64_t> version, Duration term) {
  const TimePoint started_at = this->clock.Now();
  TableOperation write{this->key, MakeItemValue(this->holder, next_fence),
                       IfAbsent{}};
  if (version) {
    write.condition = IfVersion{*version};
  }
  const auto results = co_await this->table.Transact(TransactMode::kAll,
                                                     Single(std::move(write)));
  // If only the response was lost, the next Tick reads the item and renews it.
  if (!results || !results.value().front().applied) {
    co_return;
  }
  if (this->fence != next_fence) {
    this->LogAcquired(next_fence);
  }
  this->fence = next_fence;
  this->held_until = started_at + term;
}

void Lease::Observe(const TableItem& item) {
  if (item.version != this->seen_version) {
    this->seen_version = item.version;
    this->seen_since = this->clock.Now();
  }
}

bool Lease::FormerHolderHasStopped() const {
  return this->clock.Now() - this->seen_since >=
         this->terms.term + this->terms.margin;
}

void Lease::CheckExpiry() {
  if (this->fence != 0 && this->TimeLeft() == Duration{0}) {
    this->fence = 0;
    this->LogLost("expired");
  }
}

void Lease::LogLost(std::string_view reason) {
  this->events.Record(EventId::kLeaseLost, {{"reason", std::string(reason)}});
}

void Lease::LogAcquired(std::uint64_t next_fence) {
  this->events.Record(EventId::kLeaseAcquired,
                      {{"fence", std::to_string(next_fence)}});
}

std::optional<std::uint64_t> Lease::FencingNumber() const {
  if (this->TimeLeft() == Duration{0}) {
    return std::nullopt;
  }
  return this->fence;
}

Duration Lease::TimeLeft() const {
  if (this->fence == 0) {
    return Duration{0};
  }
  return std::max(Duration{0},
                  this->held_until - this->terms.margin - this->clock.Now());
}

}  // namespace qp
