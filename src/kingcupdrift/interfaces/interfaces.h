#ifndef KINGCUPDRIFT_INTERFACES_INTERFACES_H_
#define KINGCUPDRIFT_INTERFACES_INTERFACES_H_

/// @file
/// Public header of the interfaces through which an entry, the serving process,
/// is called and calls other processes.

#include "kingcupdrift/interfaces/caller_calls.h"    // IWYU pragma: export
#include "kingcupdrift/interfaces/caller_sink.h"     // IWYU pragma: export
#include "kingcupdrift/interfaces/crash_evidence.h"  // IWYU pragma: export
#include "kingcupdrift/interfaces/engine_client.h"   // IWYU pragma: export
#include "kingcupdrift/interfaces/engine_limit.h"    // IWYU pragma: export
#include "kingcupdrift/interfaces/forward_call.h"    // IWYU pragma: export
#include "kingcupdrift/interfaces/forward_sink.h"    // IWYU pragma: export
#include "kingcupdrift/interfaces/instance_list.h"   // IWYU pragma: export
#include "kingcupdrift/interfaces/peer_link.h"       // IWYU pragma: export
#include "kingcupdrift/interfaces/platform_store.h"  // IWYU pragma: export
#include "kingcupdrift/interfaces/service_client.h"  // IWYU pragma: export
#include "kingcupdrift/interfaces/target_client.h"   // IWYU pragma: export

#endif  // KINGCUPDRIFT_INTERFACES_INTERFACES_H_
