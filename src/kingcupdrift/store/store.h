#ifndef KINGCUPDRIFT_STORE_STORE_H_
#define KINGCUPDRIFT_STORE_STORE_H_

/// @file
/// Public header of the limits on calls to the platform's store, and of copies
/// and leased keys kept with it.

#include "kingcupdrift/store/budgeted_store.h"  // IWYU pragma: export
#include "kingcupdrift/store/leased_key.h"      // IWYU pragma: export
#include "kingcupdrift/store/store_budget.h"    // IWYU pragma: export
#include "kingcupdrift/store/store_mirror.h"    // IWYU pragma: export

#endif  // KINGCUPDRIFT_STORE_STORE_H_
