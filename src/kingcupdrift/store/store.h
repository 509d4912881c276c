#ifndef KINGCUPDRIFT_STORE_STORE_H_
#define KINGCUPDRIFT_STORE_STORE_H_

/// @file
/// Public header of the rate limits on calls to the platform's store, of local
/// copies of its values, of the choice of the entries that read it, and of keys
/// under a lease.

#include "kingcupdrift/store/budgeted_store.h"   // IWYU pragma: export
#include "kingcupdrift/store/leased_key.h"       // IWYU pragma: export
#include "kingcupdrift/store/reader_election.h"  // IWYU pragma: export
#include "kingcupdrift/store/store_budget.h"     // IWYU pragma: export
#include "kingcupdrift/store/store_mirror.h"     // IWYU pragma: export

#endif  // KINGCUPDRIFT_STORE_STORE_H_
