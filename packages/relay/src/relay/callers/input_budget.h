#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace qp::relay {

class InputBudget;
class InputHolding;

/// Owner of holdings of the budget.
class InputHolder {
 public:
  virtual ~InputHolder() = default;
  /// Called when `holding` has to make room. The holding is empty already; the
  /// owner frees the memory and doesn't grow any holding during the call.
  virtual void GiveWay(InputHolding& holding) = 0;
};

/// Bytes that one connection keeps, as a part of an InputBudget. Not copyable;
/// must not outlive the budget.
class InputHolding {
 public:
  InputHolding(InputBudget& shared, InputHolder& holder)
      : budget(shared), owner(holder) {}
  ~InputHolding() { this->Release(); }
  InputHolding(const InputHolding&) = delete;
  InputHolding& operator=(const InputHolding&) = delete;

  /// Sets the size. While it is above 0, the holding can have to give way.
  /// False if it is this holding that has to give way; it is empty then, and
  /// InputHolder::GiveWay is not called.
  [[nodiscard]] bool Resize(std::size_t size);
  /// Sets the size and keeps the holding from giving way until Release. False
  /// without any change if the bytes do not fit even if all others give way.
  [[nodiscard]] bool Pin(std::size_t size);
  /// Empties the holding. Its age counts anew afterwards.
  void Release();
  std::size_t bytes() const { return this->held; }

 private:
  friend class InputBudget;

  InputBudget& budget;
  InputHolder& owner;
  std::size_t held = 0;
  std::uint64_t sequence = 0;  ///< Position by age; 0 if empty or pinned.
};

/// Bounds the bytes that all connections of callers keep together: requests
/// that are arriving or not passed on yet, and responses that are not sent yet.
///
/// When the bytes run out, the oldest holdings give way, whatever their size.
/// So a holding gives way only after the others have grown by the rest of the
/// budget since it began: a request that keeps arriving needs a fraction of the
/// time that clients need for that, while clients that stop in the middle of a
/// request become the oldest. Refusing the newest instead would let these keep
/// the budget until their timeout, and removing the largest would refuse each
/// long request while many small ones are held.
class InputBudget {
 public:
  explicit InputBudget(std::size_t bytes) : configured(bytes) {}
  InputBudget(const InputBudget&) = delete;
  InputBudget& operator=(const InputBudget&) = delete;

  void SetLimit(std::size_t bytes) { this->configured = bytes; }
  /// States the size of the largest request that callers may send, as it is
  /// held while it runs. The limit is never below that.
  void SetLargestRequest(std::size_t bytes) { this->largest_request = bytes; }
  std::size_t limit() const {
    return this->configured > this->largest_request ? this->configured
                                                    : this->largest_request;
  }
  std::size_t held() const { return this->total; }

 private:
  friend class InputHolding;

  /// Lets the oldest holdings give way until `growth` more bytes fit. False if
  /// it is the turn of `growing`, or if nothing is left that can give way.
  bool MakeRoom(std::size_t growth, const InputHolding* growing);

  std::size_t configured;
  std::size_t largest_request = 0;
  std::size_t total = 0;
  std::size_t pinned = 0;  ///< Part of `total` that cannot give way.
  std::uint64_t last_sequence = 0;
  std::map<std::uint64_t, InputHolding*> by_age;
};

}  // namespace qp::relay
