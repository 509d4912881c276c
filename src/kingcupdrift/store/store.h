#ifndef KINGCUPDRIFT_STORE_STORE_H_
#define KINGCUPDRIFT_STORE_STORE_H_

/// @file
/// Public header of budgeted access to the platform's store.

#include "kingcupdrift/store/budgeted_store.h"  // IWYU pragma: export
#include "kingcupdrift/store/store_budget.h"    // IWYU pragma: export

#endif  // KINGCUPDRIFT_STORE_STORE_H_
