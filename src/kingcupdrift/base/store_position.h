#ifndef KINGCUPDRIFT_BASE_STORE_POSITION_H_
#define KINGCUPDRIFT_BASE_STORE_POSITION_H_

#include <compare>

#include "kingcupdrift/base/quantity.h"

namespace kingcupdrift {

/// A state of the platform's store. Within an era versions only rise. A restore
/// from an older copy begins a new era, in which lower versions are given out
/// again; so versions of different eras cannot be compared.
struct StorePosition {
  StoreEra era;
  StoreVersion version;

  friend constexpr auto operator<=>(const StorePosition&,
                                    const StorePosition&) = default;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_BASE_STORE_POSITION_H_
