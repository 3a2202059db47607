#include "relay/callers/input_budget.h"

namespace qp::relay {

bool InputHolding::Resize(std::size_t size) {
  if (this->sequence == 0) {
    this->Release();
  }
  if (size == 0) {
    this->Release();
    return true;
  }
  if (this->sequence == 0) {
    this->sequence = ++this->budget.last_sequence;
    this->budget.by_age.emplace(this->sequence, this);
  }
  if (size > this->held && !this->budget.MakeRoom(size - this->held, this)) {
    this->Release();
    return false;
  }
  this->budget.total = this->budget.total - this->held + size;
  this->held = size;
  return true;
}

bool InputHolding::Pin(std::size_t size) {
  const std::size_t own_pinned = this->sequence == 0 ? this->held : 0;
  if (size > this->held &&
      this->budget.pinned - own_pinned + size > this->budget.limit()) {
    return false;
  }
  if (this->sequence != 0) {
    this->budget.by_age.erase(this->sequence);
    this->sequence = 0;
    this->budget.pinned += this->held;
  }
  if (size > this->held) {
    // Succeeds, because the other pinned bytes leave enough room.
    (void)this->budget.MakeRoom(size - this->held, nullptr);
  }
  this->budget.pinned = this->budget.pinned - this->held + size;
  this->budget.total = this->budget.total - this->held + size;
  this->held = size;
  return true;
}

void InputHolding::Release() {
  if (this->sequence != 0) {
    this->budget.by_age.erase(this->sequence);
    this->sequence = 0;
  } else {
    this->budget.pinned -= this->held;
  }
  this->budget.total -= this->held;
  this->held = 0;
}

bool InputBudget::MakeRoom(std::size_t growth, const InputHolding* growing) {
  while (this->total + growth > this->limit()) {
    if (this->by_age.empty()) {
      return false;
    }
    InputHolding* oldest = this->by_age.begin()->second;
    if (oldest == growing) {
      return false;
    }
    oldest->Release();
    oldest->owner.GiveWay(*oldest);
  }
  return true;
}

}  // namespace qp::relay
