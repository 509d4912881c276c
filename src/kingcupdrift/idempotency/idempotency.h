#ifndef KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_H_
#define KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_H_

/// @file
/// Public header of the journal that makes non-idempotent requests run at most
/// once.

#include "kingcupdrift/idempotency/idempotency_key.h"  // IWYU pragma: export
#include "kingcupdrift/idempotency/journal.h"          // IWYU pragma: export
#include "kingcupdrift/idempotency/journal_types.h"    // IWYU pragma: export

#endif  // KINGCUPDRIFT_IDEMPOTENCY_IDEMPOTENCY_H_
