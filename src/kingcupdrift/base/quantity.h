#ifndef KINGCUPDRIFT_BASE_QUANTITY_H_
#define KINGCUPDRIFT_BASE_QUANTITY_H_

#include <compare>
#include <cstdint>

namespace kingcupdrift {

/// A whole number of one unit. Quantities of different units do not convert to
/// each other.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t value) : value_(value) {}

  constexpr std::int64_t value() const { return value_; }

  friend constexpr auto operator<=>(Quantity, Quantity) = default;
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.value_ + b.value_);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.value_ - b.value_);
  }
  constexpr Quantity& operator+=(Quantity b) {
    value_ += b.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity b) {
    value_ -= b.value_;
    return *this;
  }

 private:
  std::int64_t value_ = 0;
};

/// Number of model tokens.
using TokenCount = Quantity<struct TokenCountTag>;
/// Number of bytes.
using ByteCount = Quantity<struct ByteCountTag>;
/// Generation number of the approved configuration; the first one is 1.
using Generation = Quantity<struct GenerationTag>;
/// Restart counter of an instance: a higher one supersedes all state of the
/// instance's earlier runs.
using Incarnation = Quantity<struct IncarnationTag>;
/// Revision of the platform's store, raised by each write: that of a key's last
/// write (0: the key is absent), or that of a whole listing or watch position
/// (0: not known).
using StoreVersion = Quantity<struct StoreVersionTag>;
/// How often the platform's store has been restored from an older copy of its
/// contents, as the store counts it; 0 if it does not say.
using StoreEra = Quantity<struct StoreEraTag>;
/// ID of a lease in the platform's store; 0 means none.
using LeaseId = Quantity<struct LeaseTag>;
/// Sequence number of placement orders, with which an entry (a serving process)
/// sets an engine's model and role; an engine may refuse an order with a
/// lower number than it has seen.
using FencingNumber = Quantity<struct FencingTag>;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_QUANTITY_H_
