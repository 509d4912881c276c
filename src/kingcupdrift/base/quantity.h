#ifndef KINGCUPDRIFT_BASE_QUANTITY_H_
#define KINGCUPDRIFT_BASE_QUANTITY_H_

#include <compare>
#include <cstdint>

namespace kingcupdrift {

/// A whole number of one unit. Quantities of different units do not mix.
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

/// Model tokens.
using TokenCount = Quantity<struct TokenCountTag>;
/// Bytes.
using ByteCount = Quantity<struct ByteCountTag>;
/// Generation of the operators' configuration; the first approved one is 1.
using Generation = Quantity<struct GenerationTag>;
/// Restart counter by which a restarted instance outranks its earlier self.
using Incarnation = Quantity<struct IncarnationTag>;
/// Modification version of a key in the platform's store; 0 means absent.
using StoreVersion = Quantity<struct StoreVersionTag>;
/// Number of a lease in the platform's store; 0 means none.
using LeaseId = Quantity<struct LeaseTag>;
/// Number that orders placement orders; engines may refuse a lower one.
using FencingNumber = Quantity<struct FencingTag>;

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_QUANTITY_H_
